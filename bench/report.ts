/** Page with the curves of a bench run: goodput by class, and the limits and thresholds of the deep service. */
import { writeFileSync } from "node:fs";
import type { Figures } from "./figures.js";
import type { AdmissionSample } from "./samples.js";
import { columnMs } from "./samples.js";

/** Size of a chart and of the room for its labels, in pixels. */
const chart = { width: 520, height: 160, left: 40, bottom: 20 };
const colours = ["#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#b9770e", "#555555"];

/** One curve. */
interface Curve {
    readonly name: string;
    readonly points: readonly (readonly [x: number, y: number])[];
}

/** Writes the page for all replays of a run. */
export function writeReport(file: string, all: readonly Figures[]): void {
    const sections = all.map(figures =>
        `<h2>${figures.trace}, ${figures.variant}</h2>\n<div>${formatCharts(figures).join("\n")}</div>`
    );
    const style = "body{font:14px sans-serif;margin:2em}div{display:flex;flex-wrap:wrap;gap:1em}";
    writeFileSync(
        file,
        `<!doctype html><meta charset="utf-8"><title>Replays</title><style>${style}</style>
<h1>Replays</h1><p>The grey band is the time of the cause. Time in seconds.</p>\n${sections.join("\n")}\n`,
    );
}

function formatCharts(figures: Figures): string[] {
    const goodput = Object.entries(figures.series).map(([name, columns]): Curve => ({
        name,
        points: columns.map((value, index) => [index * columnMs / 1000, value]),
    }));
    return [
        formatChart("completed actions a second", goodput, figures),
        formatChart("running at the deep service", createCurves(figures.samples, "running"), figures),
        formatChart("concurrency limit", createCurves(figures.samples, "limit"), figures),
        formatChart("priority threshold", createCurves(figures.samples, "threshold"), figures),
    ];
}

function createCurves(samples: readonly AdmissionSample[], field: "running" | "limit" | "threshold"): Curve[] {
    return [...new Set(samples.map(sample => sample.instance))].map(name => ({
        name,
        points: samples.filter(sample => sample.instance === name).map(sample => [sample.at / 1000, sample[field]]),
    }));
}

function formatChart(title: string, curves: readonly Curve[], figures: Figures): string {
    const { width, height, left, bottom } = chart;
    const endX = figures.endMs / 1000;
    const maxY = Math.max(1, ...curves.flatMap(curve => curve.points.map(point => point[1])));
    const toX = (x: number): number => left + x / endX * (width - left);
    const toY = (y: number): number => (height - bottom) * (1 - y / maxY);
    const lines = curves.map((curve, index) => {
        const points = curve.points.map(([x, y]) => `${toX(x).toFixed(1)},${toY(y).toFixed(1)}`).join(" ");
        const colour = colours[index % colours.length];
        return `<polyline fill="none" stroke="${colour}" points="${points}"/>`
            + `<text x="${left + 8}" y="${14 + 13 * index}" font-size="11" fill="${colour}">${curve.name}</text>`;
    });
    const begin = toX(figures.causeBeginMs / 1000);
    const band = `<rect x="${begin}" width="${toX(figures.causeEndMs / 1000) - begin}" height="${
        height - bottom
    }" fill="#eee"/>`;
    const axes = `<text x="0" y="12" font-size="11">${maxY.toFixed(0)}</text><text x="0" y="${
        height - bottom
    }" font-size="11">0</text><text x="${width - 30}" y="${height - 4}" font-size="11">${endX.toFixed(0)} s</text>`;
    return `<figure><figcaption>${title}</figcaption><svg width="${width}" height="${height}">${band}${
        lines.join("")
    }${axes}</svg></figure>`;
}
