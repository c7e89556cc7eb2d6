/** Settings files: TOML that is checked against a schema, with errors that name the file, the key and what is allowed. */
import { readFileSync } from "node:fs";
import { parse as parseToml, TomlError } from "smol-toml";
import * as v from "valibot";
import { formatAllowed } from "../../version/schema.js";
import type { Result } from "../base/result.js";
import { createFailure, createSuccess } from "../base/result.js";

/** Error in a settings file: it can't be read, isn't TOML, or has a value that the schema refuses. */
export type SettingsError =
    | { readonly kind: "unreadable"; readonly file: string; readonly message: string; }
    | { readonly kind: "syntax"; readonly file: string; readonly line: number; readonly message: string; }
    | {
        readonly kind: "value";
        readonly file: string;
        readonly key: string;
        readonly value: string;
        readonly allowed: string;
    };

/** Reads a settings file and parses its text by `parse`. */
export function readSettingsText<Settings>(
    file: string,
    parse: (text: string) => Result<Settings, SettingsError>,
): Result<Settings, SettingsError> {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (error) {
        return createFailure({ kind: "unreadable", file, message: (error as Error).message });
    }
    return parse(text);
}

/** Parses the text of a settings file and checks it; `file` is for messages only. */
export function parseSettingsText<Schema extends v.GenericSchema>(
    schema: Schema,
    file: string,
    text: string,
): Result<v.InferOutput<Schema>, SettingsError> {
    let raw: unknown;
    try {
        raw = parseToml(text);
    }
    catch (error) {
        const line = error instanceof TomlError ? error.line : 0;
        return createFailure({ kind: "syntax", file, line, message: (error as Error).message.split("\n")[0]! });
    }
    const parsed = v.safeParse(schema, raw, { abortEarly: true });
    if (parsed.success) {
        return createSuccess(parsed.output);
    }
    const issue = parsed.issues[0];
    return createFailure({
        kind: "value",
        file,
        key: v.getDotPath(issue) ?? "settings",
        value: issue.received,
        allowed: formatAllowed(issue),
    });
}

/** Formats a settings error as one line of text. */
export function formatSettingsError(error: SettingsError): string {
    switch (error.kind) {
        case "unreadable":
            return `${error.file}: ${error.message}`;
        case "syntax":
            return `${error.file}:${error.line}: ${error.message}`;
        case "value":
            return `${error.file}: ${error.key} = ${error.value}, allowed: ${error.allowed}`;
    }
}
