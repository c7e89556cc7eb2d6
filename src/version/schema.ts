/** Small additions to valibot that several formats share. */
import * as v from "valibot";

/** Parses a value that came from outside; `undefined` when it does not match. */
export function parseWith<Schema extends v.GenericSchema>(
    schema: Schema,
    raw: unknown,
): v.InferOutput<Schema> | undefined {
    const parsed = v.safeParse(schema, raw);
    return parsed.success ? parsed.output : undefined;
}

/** Parses JSON that came from outside; `undefined` when it is malformed. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

/** An integer within limits. */
export function createIntegerSchema(minimum: number, maximum: number) {
    return v.pipe(v.number(), v.integer(), v.minValue(minimum), v.maxValue(maximum));
}

/** A short text from a peer, the log or a caller. */
export const shortTextSchema = v.pipe(v.string(), v.minLength(1), v.maxLength(128));

/** Formats what a value may be, from the first rule that it breaks. */
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
