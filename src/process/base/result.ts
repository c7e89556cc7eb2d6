/** Outcome of an operation that can fail in expected ways; `E` is a tagged union of the errors of its module. */
export type Result<T, E> =
    | { readonly ok: true; readonly value: T; }
    | { readonly ok: false; readonly error: E; };

/** Wraps a value as a success. */
export function createSuccess<T>(value: T): { readonly ok: true; readonly value: T; } {
    return { ok: true, value };
}

/** Wraps an error as a failure. */
export function createFailure<E>(error: E): { readonly ok: false; readonly error: E; } {
    return { ok: false, error };
}
