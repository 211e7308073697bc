/** What the Transfer-Encoding headers of an answer say about its body (RFC 9112, section 6). */

const codingsOf = (values: readonly string[]): string[] => values.join(",").split(",").map(coding => coding.trim().toLowerCase());

/** Whether the body consists of chunks, which mark its end; any other last coding leaves that to the close of the connection. */
export const isChunked = (values: readonly string[]): boolean => codingsOf(values).at(-1) === "chunked";

/** Codings that leave the body as it is; an empty one is the same as none. */
const plainCodings = new Set(["", "identity"]);

/** Whether a coding remains in the body after its chunks were joined, so that it isn't the one that the server meant. */
export const isTransferEncoded = (values: readonly string[]): boolean => {
    const codings = codingsOf(values);
    const rest = codings.at(-1) === "chunked" ? codings.slice(0, -1) : codings;
    return !rest.every(coding => plainCodings.has(coding));
};
