/**
 * Holds the newest configuration known to this process. Its version never decreases, even if older texts arrive late.
 */
import { formatConfigurationError, parseConfiguration } from "./configuration.js";
import { RouteTable } from "./routeTable.js";

/** Result of {@link ConfigurationHolder.adoptIfNewer}. `older` is also the result for the version in force. */
export type AdoptionResult =
    | { readonly kind: "adopted"; readonly version: number; }
    | { readonly kind: "older"; readonly version: number; }
    | { readonly kind: "invalid"; readonly cause: string; };

/** Newest configuration and its text, which is forwarded to peers. */
export class ConfigurationHolder {
    private table: RouteTable | undefined;
    private text = "";
    private readonly listeners: ((version: number) => void)[] = [];

    /** Returns the routes in force; `undefined` before the first configuration. */
    getTable(): RouteTable | undefined {
        return this.table;
    }

    /** Returns the version in force; -1 before the first configuration. */
    getVersion(): number {
        return this.table?.configuration.version ?? -1;
    }

    /** Returns the text of the version in force; empty before the first configuration. */
    getText(): string {
        return this.text;
    }

    /** Registers a listener that is called with each version that is adopted. */
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
