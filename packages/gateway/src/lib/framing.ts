/** How the length of an answer's body is determined. */
import { isChunked } from "@cassiapick/core";
import { headerValue, headerValues } from "./headers.js";
import type { RawHeaders } from "./headers.js";

/** Whether the end of the body is marked only by the close of the connection. */
export const isCloseDelimited = (headers: RawHeaders): boolean =>
    headerValue(headers, "content-length") === undefined && !isChunked(headerValues(headers, "transfer-encoding"));

/** Describes how the length of an answer's body is determined, for the log. */
export const describeFraming = (headers: RawHeaders): string => {
    if (isCloseDelimited(headers)) {
        return "delimited by the close of the connection";
    }
    return headerValue(headers, "content-length") === undefined ? "chunked" : "with Content-Length";
};
