/** Holds the newest configuration known to this process. The version never goes back, whatever arrives late. */
import { formatConfigurationError, parseConfiguration } from "./configuration.js";
import { RouteTable } from "./routeTable.js";

/** What became of a configuration that arrived. */
export type AdoptionResult =
    | { readonly kind: "adopted"; readonly version: number; }
    | { readonly kind: "older"; readonly version: number; }
    | { readonly kind: "invalid"; readonly cause: string; };

/** Newest configuration and its text, which is passed on to peers. */
export class ConfigurationHolder {
    private table: RouteTable | undefined;
    private text = "";
    private readonly listeners: ((version: number) => void)[] = [];

    /** Routes in force; `undefined` before the first configuration. */
    getTable(): RouteTable | undefined {
        return this.table;
    }

    /** Version in force; -1 before the first configuration. */
    getVersion(): number {
        return this.table?.configuration.version ?? -1;
    }

    /** Text of the version in force; empty before the first configuration. */
    getText(): string {
        return this.text;
    }

    /** Calls `listener` with each version that is adopted. */
    addListener(listener: (version: number) => void): void {
        this.listeners.push(listener);
    }

    /** Adopts a configuration if it is valid and newer than the one in force. */
    adoptIfNewer(text: string): AdoptionResult {
        const parsed = parseConfiguration(text);
        if (!parsed.ok) {
            return { kind: "invalid", cause: formatConfigurationError(parsed.error) };
        }
        const { version } = parsed.value;
        if (version <= this.getVersion()) {
            return { kind: "older", version };
        }
        this.table = new RouteTable(parsed.value);
        this.text = text;
        for (const listener of this.listeners) {
            listener(version);
        }
        return { kind: "adopted", version };
    }
}
