/** Metrics that are counted before the library for their format is loaded. */
import { expect } from "chai";
import { RoutedMetrics } from "../../src/process/telemetry/routedMetrics.js";

describe("metrics of a routed node", () => {
    it("count what ended before they were first read, and after", async () => {
        const metrics = new RoutedMetrics();
        metrics.addGauge("sample", "A gauge.", () => 7);
        metrics.addLabelledGauge(
            "quota",
            "By customer.",
            ["customer"],
            () => [{ labels: { customer: "w" }, value: 3 }],
        );
        metrics.recordRequestOutcome("page", "answer", "", 30);
        await metrics.read();
        metrics.recordRequestOutcome("page", "answer", "", 40);
        const { text } = await metrics.read();
        expect(text).contains("turmericspoke_requests_total{route=\"page\",outcome=\"answer\",cause=\"\"} 2");
        expect(text).contains("turmericspoke_request_seconds_count{outcome=\"answer\"} 2");
        expect(text).contains("turmericspoke_sample 7");
        expect(text).contains("turmericspoke_quota{customer=\"w\"} 3");
    });
});
