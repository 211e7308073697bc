/** Names of the headers that the gateway reads and sets, and the rules for passing headers on. */
import { hopByHopHeaders } from "@cassiapick/operations";

/** The headers of one deployment, in lower case. */
export interface ExchangeHeaders {
    /** Names one request of a caller; servers repeat it in their answers. */
    requestId: string;
    /** How long the sender will wait, in milliseconds. */
    deadlineMs: string;
    /** Names the server that may run the request; another one declines it. */
    expectedServer: string;
    /** Present in an answer when the server did not run the request. */
    notRun: string;
    /** Present in each whole answer of a server. */
    signature: string;
}

/** Headers as name and value by turns, like `rawHeaders` of Node. */
export type RawHeaders = readonly string[];

/** The first value of a header, by its lower-case name. */
export const valueOf = (headers: RawHeaders, name: string): string | undefined => {
    for (let index = 0; index + 1 < headers.length; index += 2) {
        if (headers[index]!.toLowerCase() === name) {
            return headers[index + 1];
        }
    }
    return undefined;
};

/** Leaves out the headers that belong to one connection, those that the Connection header names, and `dropped`. */
export const endToEnd = (headers: RawHeaders, dropped: readonly string[] = []): string[] => {
    const named = (valueOf(headers, "connection") ?? "").split(",").map(name => name.trim().toLowerCase());
    const left = new Set([...named, ...dropped]);
    const result: string[] = [];
    for (let index = 0; index + 1 < headers.length; index += 2) {
        const name = headers[index]!.toLowerCase();
        if (!hopByHopHeaders.has(name) && !left.has(name)) {
            result.push(headers[index]!, headers[index + 1]!);
        }
    }
    return result;
};
