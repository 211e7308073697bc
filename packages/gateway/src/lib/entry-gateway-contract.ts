/** Interface of an entry host that serves published configurations. */
import type { PoolLocality, Random, RetryBound } from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";
import type { HeaderNames } from "./headers.js";
import type { Connect } from "./http-call.js";

/** Options of an entry host. */
export interface EntryGatewayOptions {
    hostId: string;
    /** Address that callers connect to. */
    listenHost: string;
    /** 0 lets the operating system choose. */
    listenPort: number;
    /** Port on which other entry hosts may ask this one to send requests to servers; 0 lets the operating system choose. */
    forwardPort: number;
    locality: PoolLocality;
    /** State hosts to connect to first, as "host:port". */
    seeds: readonly string[];
    headerNames: HeaderNames;
    retryBound: RetryBound;
    /** Time within which a published change is in force, in milliseconds; an older view can't prove that a route is missing. */
    applyWithinMs: number;
    /** Time within which a withdrawn key must stop, in milliseconds. */
    revokeWithinMs: number;
    /** Whether the host refuses requests under keys while its view is older than `revokeWithinMs`. */
    refusesOldViews: boolean;
    /** Time limit of a graceful stop, in milliseconds. */
    stopWithinMs: number;
    /** Memory that the process may use, in bytes; without it, answers are not bounded by their sum. */
    memoryBytes?: number;
    /** Rate of this host's link, in bytes a millisecond, if known. */
    linkBytesPerMs?: number;
    /** Opens connections to backend servers; by default, over TCP. */
    connectServer?: Connect;
    random: Random;
    clock: () => number;
    wallClock: () => number;
    log: EventLog;
}

/** A running entry host. */
export interface EntryGateway {
    port: number;
    /** Whether callers should connect to this host. */
    isReady(): boolean;
    setSeeds(seeds: readonly string[]): void;
    renderMetrics(): string;
    /** Finishes the requests that were read; resolves when the process may end. */
    stop(): Promise<void>;
}
