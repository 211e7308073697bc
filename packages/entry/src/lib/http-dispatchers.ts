/** HTTP connections to backend servers and to other entry hosts. */
import { Agent } from "undici";
import type { Dispatcher } from "undici";

/** HTTP dispatchers of one host. */
export interface HttpDispatchers {
    /** For requests that may be retried; connections may be reused. */
    pooled: Dispatcher;
    /**
     * For requests that must not be sent twice; each request opens a new connection.
     *
     * The server may have just closed a reused connection; the request would then be lost with an unknown outcome although
     * no server ran it.
     */
    singleUse: Dispatcher;
    /** For requests that are forwarded to other entry hosts. */
    forwarding: Dispatcher;
    /** Whether connections to the origin may be reused, because it echoes the attempt id in its answers. */
    mayReuse(origin: string): boolean;
    /** Records that the origin echoed the attempt id. */
    allowReuse(origin: string): void;
    /** Stops reuse after an answer without the id of its attempt. */
    revokeReuse(origin: string): void;
    /** Closes all connections; requests in flight fail. */
    close(): Promise<void>;
}

const connectTimeoutMs = 1000;
const keepAliveTimeoutMs = 4000;
/** Bounds the memory for origins; when it is reached, every origin has to prove again that it echoes. */
const maxReusableOrigins = 10_000;

/** Creates the dispatchers. They don't limit the number of connections, because the scheduler limits requests in flight. */
export const createHttpDispatchers = (): HttpDispatchers => {
    const commonOptions = { connect: { timeout: connectTimeoutMs }, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 };
    const pooled = new Agent({ ...commonOptions, keepAliveTimeout: keepAliveTimeoutMs });
    const singleUse = new Agent({ ...commonOptions, keepAliveTimeout: 1 });
    const forwarding = new Agent({ ...commonOptions, keepAliveTimeout: keepAliveTimeoutMs });
    const reusableOrigins = new Set<string>();

    const allowReuse = (origin: string): void => {
        if (reusableOrigins.size >= maxReusableOrigins) {
            reusableOrigins.clear();
        }
        reusableOrigins.add(origin);
    };

    return {
        pooled,
        singleUse,
        forwarding,
        mayReuse: origin => reusableOrigins.has(origin),
        allowReuse,
        revokeReuse: origin => {
            reusableOrigins.delete(origin);
        },
        close: async () => {
            await Promise.all([pooled.destroy(), singleUse.destroy(), forwarding.destroy()]);
        },
    };
};
