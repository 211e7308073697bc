/** What a caller's request says, and the headers with which it goes to a backend server. */
import { keyDigestOf } from "@cassiapick/operations";
import type { IncomingMessage } from "node:http";
import { endToEndHeaders, headerValue, singleHeaderValue } from "./headers.js";
import type { HeaderNames, RawHeaders } from "./headers.js";

/** Without a caller's deadline, only the route's timeout applies. */
const noDeadlineMs = Infinity;

/** Returns how long the caller waits, in milliseconds. */
export const callerDeadlineMs = (req: IncomingMessage, headerNames: HeaderNames): number => {
    const text = headerValue(req.rawHeaders, headerNames.deadlineMs);
    const value = text === undefined ? NaN : Number(text);
    return Number.isFinite(value) && value >= 0 ? value : noDeadlineMs;
};

/** Returns the digest of the caller's key; `undefined` if there is none, or more than one, so that none is preferred. */
export const keyDigestIn = (req: IncomingMessage, headerNames: HeaderNames): string | undefined => {
    const key = singleHeaderValue(req.rawHeaders, headerNames.key);
    // Node.js decodes each byte of a header as one character.
    return key === undefined || key === "" ? undefined : keyDigestOf(Buffer.from(key, "latin1"));
};

/**
 * Returns the headers of the caller's request for a server: without the key, and with the workspace that this host found. What the
 * caller itself says of a workspace is dropped, on public routes and without workspaces too, as servers trust the header.
 */
export const serverHeaders = (
    req: IncomingMessage,
    body: Buffer,
    headerNames: HeaderNames,
    workspaceName: string | undefined,
): RawHeaders => {
    const headers = endToEndHeaders(req.rawHeaders, [
        "content-length",
        headerNames.deadlineMs,
        headerNames.expectedServer,
        headerNames.key,
        headerNames.workspace,
    ]);
    if (workspaceName !== undefined) {
        // Node.js encodes each character of a header as one byte.
        headers.push(headerNames.workspace, Buffer.from(workspaceName, "utf8").toString("latin1"));
    }
    const hasContentLength = body.length > 0
        || ["content-length", "transfer-encoding"].some(name => headerValue(req.rawHeaders, name) !== undefined);
    return hasContentLength ? [...headers, "Content-Length", String(body.length)] : headers;
};
