/** Valibot helpers that several formats share. */
import * as v from "valibot";

/** Parses an untrusted value; `undefined` if it does not match the schema. */
export function parseWith<Schema extends v.GenericSchema>(
    schema: Schema,
    raw: unknown,
): v.InferOutput<Schema> | undefined {
    const parsed = v.safeParse(schema, raw);
    return parsed.success ? parsed.output : undefined;
}

/** Parses untrusted JSON; `undefined` if it is malformed. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

/** Creates the schema of an integer from `minimum` to `maximum`, both included. */
export function createIntegerSchema(minimum: number, maximum: number) {
    return v.pipe(v.number(), v.integer(), v.minValue(minimum), v.maxValue(maximum));
}

/** Schema of a short text, such as a name or an address. */
export const shortTextSchema = v.pipe(v.string(), v.minLength(1), v.maxLength(128));

/** Describes the allowed values from the first check that a value failed. */
export function formatAllowed(issue: v.BaseIssue<unknown>): string {
    switch (issue.type) {
        case "strict_object":
            return issue.expected === "never" ? "no such key" : `a value for this key (${issue.expected})`;
        case "min_value":
        case "max_value":
            return `a number ${issue.expected}`;
        case "regex":
        case "check":
            return issue.message;
        default:
            return issue.expected ?? issue.message;
    }
}
