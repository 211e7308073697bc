/** Connections to backend servers and to other entry hosts. */
import { Agent } from "undici";
import type { Dispatcher } from "undici";

/** The dispatchers of one host. */
export interface BackendClients {
    /** For requests that may be sent again: connections may be kept. */
    shared: Dispatcher;
    /**
     * For requests that must not be sent twice: every request has a fresh connection.
     *
     * A kept connection may have been closed by the other side just before; the request would then be lost with an
     * unknown outcome although nobody ran it.
     */
    fresh: Dispatcher;
    /** For requests that are passed on to other entry hosts. */
    hops: Dispatcher;
    /** Whether the origin has proved that it names the request in each answer, so that its connections may be kept. */
    mayKeep(origin: string): boolean;
    provedIdentity(origin: string): void;
    /** Forgets the proof after an answer that named another request. */
    distrust(origin: string): void;
    close(): Promise<void>;
}

const connectTimeoutMs = 1000;
const keepAliveMs = 4000;
const maxIdleOrigins = 10_000;

/** Creates the dispatchers. Waiting for a slot is the scheduler's work, so connections are not limited here. */
export const createBackendClients = (): BackendClients => {
    const base = { connect: { timeout: connectTimeoutMs }, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 };
    const shared = new Agent({ ...base, keepAliveTimeout: keepAliveMs });
    const fresh = new Agent({ ...base, keepAliveTimeout: 1 });
    const hops = new Agent({ ...base, keepAliveTimeout: keepAliveMs });
    const proved = new Set<string>();

    const provedIdentity = (origin: string): void => {
        if (proved.size >= maxIdleOrigins) {
            proved.clear();
        }
        proved.add(origin);
    };

    return {
        shared,
        fresh,
        hops,
        mayKeep: origin => proved.has(origin),
        provedIdentity,
        distrust: origin => {
            proved.delete(origin);
        },
        close: async () => {
            await Promise.all([shared.destroy(), fresh.destroy(), hops.destroy()]);
        },
    };
};
