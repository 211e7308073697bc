/** Names of the fleet's own headers, and the rules for forwarding headers. */
import { setOwnValue } from "@cassiapick/core";
import { hopByHopHeaders } from "@cassiapick/operations";

/** Names of the fleet's own headers, in lower case. */
export const fleetHeaders = {
    brand: "cassiapick-brand",
    deadline: "cassiapick-deadline-ms",
    outcome: "cassiapick-outcome",
    reason: "cassiapick-reason",
    /** Id of an attempt; a backend server that echoes it shows which request its answer belongs to. */
    attempt: "cassiapick-attempt",
    visited: "cassiapick-visited",
    hopToken: "cassiapick-hop-token",
    requestId: "cassiapick-request-id",
    /** Identifies a request by its content; sent from one entry host to another. */
    requestKey: "cassiapick-request-key",
    servedBy: "cassiapick-served-by",
    /** The backend server of the latest attempt; sent from one entry host to another. */
    server: "cassiapick-server",
    leaving: "cassiapick-leaving",
} as const;

/** Header names with their values. */
export type HeaderMap = Record<string, string | string[]>;

const perConnectionHeaders = new Set([...hopByHopHeaders, "host", "content-length"]);

const fleetHeaderNames = new Set<string>(Object.values(fleetHeaders));

/**
 * Returns the headers without hop-by-hop headers, those listed in the Connection header, and the fleet's own.
 *
 * Drops Content-Length too, because it is computed again from the forwarded body.
 */
export const endToEndHeaders = (headers: Record<string, string | string[] | undefined>): HeaderMap => {
    const connection = headers.connection;
    const connectionOptions = (Array.isArray(connection) ? connection.join(",") : connection ?? "").split(",").map(name =>
        name.trim().toLowerCase()
    );
    const namedByConnection = new Set(connectionOptions);
    const result: HeaderMap = {};
    for (const [name, value] of Object.entries(headers)) {
        const lowerCaseName = name.toLowerCase();
        if (
            value !== undefined && !perConnectionHeaders.has(lowerCaseName) && !namedByConnection.has(lowerCaseName)
            && !fleetHeaderNames.has(lowerCaseName)
        ) {
            setOwnValue(result, lowerCaseName, value);
        }
    }
    return result;
};

/** Returns the first value of a header. */
export const firstValue = (value: string | string[] | undefined): string | undefined => Array.isArray(value) ? value[0] : value;
