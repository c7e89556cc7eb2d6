/** Reads the settings file at intervals and on demand, such as after SIGHUP, and applies valid changes. */
import { readFileSync } from "node:fs";
import type { Clock } from "../base/clock.js";
import type { Logger } from "../telemetry/logger.js";
import type { RoutedSettings } from "./routedSettings.js";
import { parseRoutedSettings } from "./routedSettings.js";
import { formatSettingsError } from "./settingsFile.js";

/** Poll interval of the file, in milliseconds. */
const checkIntervalMs = 3000;

/** Watches one settings file and passes each valid change to `applySettings`. */
export class SettingsWatcher {
    /** Content of the file when it was last read. */
    private lastText: string;

    constructor(
        private readonly clock: Clock,
        private readonly logger: Logger,
        private readonly file: string,
        private readonly applySettings: (settings: RoutedSettings) => void,
    ) {
        this.lastText = this.readText() ?? "";
    }

    /** Polls the file until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.clock.sleepToTick(checkIntervalMs, signal);
            this.checkFile();
        }
    }

    /** Reads the file now and applies it if it has changed. Invalid settings are logged and change nothing. */
    checkFile(): void {
        const text = this.readText();
        if (text === undefined || text === this.lastText) {
            return;
        }
        this.lastText = text;
        const settings = parseRoutedSettings(this.file, text);
        if (!settings.ok) {
            this.logger.error("settingsRefused", { cause: formatSettingsError(settings.error) });
            return;
        }
        this.logger.info("settingsReloaded", { file: this.file });
        this.applySettings(settings.value);
    }

    private readText(): string | undefined {
        try {
            return readFileSync(this.file, "utf8");
        }
        catch (error) {
            this.logger.warn("settingsUnreadable", { cause: (error as Error).message });
            return undefined;
        }
    }
}
