/** Names of the headers of the fleet, and the rules for passing headers on. */
import { hopByHopHeaders } from "@cassiapick/operations";

/** Lower-case names of the fleet's own headers. */
export const fleetHeaders = {
    brand: "cassiapick-brand",
    deadline: "cassiapick-deadline-ms",
    outcome: "cassiapick-outcome",
    reason: "cassiapick-reason",
    /** Names one attempt; a backend server that echoes it proves which request its answer belongs to. */
    attempt: "cassiapick-attempt",
    visited: "cassiapick-visited",
    hopToken: "cassiapick-hop-token",
    requestId: "cassiapick-request-id",
    servedBy: "cassiapick-served-by",
    /** The backend server that was tried last, told from host to host. */
    server: "cassiapick-server",
    leaving: "cassiapick-leaving",
} as const;

/** Header names with their values. */
export type HeaderMap = Record<string, string | string[]>;

const hopByHop = new Set([...hopByHopHeaders, "host", "content-length"]);

const own = new Set<string>(Object.values(fleetHeaders));

/**
 * Leaves out the headers that belong to one connection, those that the Connection header names, and the fleet's own.
 *
 * The length is left out too, since it is set anew from the body that is passed on.
 */
export const endToEndHeaders = (headers: Record<string, string | string[] | undefined>): HeaderMap => {
    const connection = headers.connection;
    const listed = (Array.isArray(connection) ? connection.join(",") : connection ?? "").split(",").map(name =>
        name.trim().toLowerCase()
    );
    const dropped = new Set(listed);
    const result: HeaderMap = {};
    for (const [name, value] of Object.entries(headers)) {
        const lower = name.toLowerCase();
        if (value !== undefined && !hopByHop.has(lower) && !dropped.has(lower) && !own.has(lower)) {
            result[lower] = value;
        }
    }
    return result;
};

/** The first value of a header. */
export const firstValue = (value: string | string[] | undefined): string | undefined => Array.isArray(value) ? value[0] : value;
