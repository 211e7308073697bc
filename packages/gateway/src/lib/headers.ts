/** Names of the headers that the gateway reads and sets, and the rules for forwarding headers. */
import { hopByHopHeaders } from "@cassiapick/operations";

/** Header names of one deployment, in lower case. */
export interface HeaderNames {
    /** Identifies one request of a caller; servers echo it in their answers. */
    requestId: string;
    /** How long the sender waits for an answer, in milliseconds. */
    deadlineMs: string;
    /** Id of the server that may run the request; any other server declines it. */
    expectedServer: string;
    /** Present in an answer if the server did not run the request. */
    notRun: string;
    /** Present in each complete answer of a server. */
    signature: string;
    /** Requests a second that a server takes from the whole fleet, as a decimal number. */
    serverLimit: string;
    /** "1" in the answers of a server that is leaving. */
    serverLeaving: string;
    /** The caller's key; it never reaches a server. */
    key: string;
    /** Name of the caller's workspace, for the server; a caller's own header of this name is dropped. */
    workspace: string;
}

/** Alternating header names and values, like `rawHeaders` of Node.js. */
export type RawHeaders = readonly string[];

/** Returns the first value of a header by its lower-case name. */
export const headerValue = (headers: RawHeaders, name: string): string | undefined => {
    for (let index = 0; index + 1 < headers.length; index += 2) {
        if (headers[index]!.toLowerCase() === name) {
            return headers[index + 1];
        }
    }
    return undefined;
};

/** Returns all values of a header by its lower-case name, in their order. */
export const headerValues = (headers: RawHeaders, name: string): string[] =>
    headers.filter((_, index) => index % 2 === 1 && headers[index - 1]!.toLowerCase() === name);

/** Returns the value of a header that may occur once only; `undefined` if it is missing or occurs several times. */
export const singleHeaderValue = (headers: RawHeaders, name: string): string | undefined => {
    const values = headerValues(headers, name);
    return values.length === 1 ? values[0] : undefined;
};

/** Removes hop-by-hop headers, the headers that the Connection header names, and `dropped`. */
export const endToEndHeaders = (headers: RawHeaders, dropped: readonly string[] = []): string[] => {
    const connectionOptions = headerValues(headers, "connection").join(",").split(",").map(name => name.trim().toLowerCase());
    const droppedNames = new Set([...connectionOptions, ...dropped]);
    const result: string[] = [];
    for (let index = 0; index + 1 < headers.length; index += 2) {
        const name = headers[index]!.toLowerCase();
        if (!hopByHopHeaders.has(name) && !droppedNames.has(name)) {
            result.push(headers[index]!, headers[index + 1]!);
        }
    }
    return result;
};
