/** How the length of an answer's body is determined. */
import { headerValue } from "./headers.js";
import type { RawHeaders } from "./headers.js";

/** Whether the end of the body is marked only by the close of the connection. */
export const isCloseDelimited = (headers: RawHeaders): boolean =>
    headerValue(headers, "transfer-encoding") === undefined && headerValue(headers, "content-length") === undefined;

/** Describes how the length of an answer's body is determined, for the log. */
export const describeFraming = (headers: RawHeaders): string => {
    if (isCloseDelimited(headers)) {
        return "delimited by the close of the connection";
    }
    return headerValue(headers, "transfer-encoding") === undefined ? "with Content-Length" : "chunked";
};
