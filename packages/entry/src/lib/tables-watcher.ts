/** Keeps the tables of this host up to date, from the state hosts or from a relay in the region. */
import { noVersion, StateReplyKind, StateRequestKind } from "@cassiapick/core";
import type { StateReply, Version, VersionedTables } from "@cassiapick/core";
import type { RpcClient } from "@cassiapick/wire";
import { setTimeout as sleep } from "node:timers/promises";

/** RPC channel of the state hosts' protocol; relays serve its watch request too. */
export const stateChannel = "state";

/** Options of {@link createTablesWatcher}. */
export interface TablesWatcherOptions {
    hostId: string;
    /** Connections to the state hosts. */
    stateHosts: RpcClient[];
    /** Returns a connection to the relay to read from, or `undefined` when this host reads from the state hosts. */
    findRelay: () => RpcClient | undefined;
    /** Returns the version of the tables in force. */
    knownVersion: () => Version;
    onTables: (versioned: VersionedTables) => void;
    /** Called when the sources of tables become unreachable or reachable again. */
    onReachabilityChange: (isReachable: boolean) => void;
    /** Called when this host begins or ceases to read from a state host that answers, so that it may serve as a relay. */
    onDirectSourceChange: (isDirect: boolean) => void;
}

/** Watches the sources of tables. */
export interface TablesWatcher {
    /** Reads the tables from all sources before the host serves; resolves after the timeout if no state host answers. */
    catchUp(): Promise<void>;
    start(): void;
    stop(): void;
}

const watchWaitMs = 5000;
const watchTimeoutMs = 7000;
const catchUpTimeoutMs = 3000;
const catchUpCallTimeoutMs = 1000;
const retryDelayMs = 200;

/** Creates a watcher that is not started. */
export const createTablesWatcher = (options: TablesWatcherOptions): TablesWatcher => {
    const state = { stopped: false };
    let pickCount = 0;
    let isReachable = true;
    let isDirect = false;

    // A function, so that the compiler doesn't narrow the flag, which may change during an await.
    const isStopped = (): boolean => state.stopped;

    const handleReply = (reply: StateReply): boolean => {
        if (reply.kind === StateReplyKind.Tables) {
            options.onTables(reply.versioned);
        }
        return reply.kind === StateReplyKind.Tables || reply.kind === StateReplyKind.Unchanged;
    };

    const watchTables = async (source: RpcClient, waitMs: number): Promise<boolean> => {
        const request = { kind: StateRequestKind.Watch, known: options.knownVersion(), waitMs, hostId: options.hostId };
        const result = await source.call(stateChannel, request, watchTimeoutMs);
        return result.ok && handleReply(result.body as StateReply);
    };

    const readTables = async (source: RpcClient): Promise<boolean> => {
        const result = await source.call(stateChannel, { kind: StateRequestKind.Read }, catchUpCallTimeoutMs);
        return result.ok && handleReply(result.body as StateReply);
    };

    const catchUp = async (): Promise<void> => {
        const deadline = performance.now() + catchUpTimeoutMs;
        while (performance.now() < deadline && !state.stopped) {
            // A linearizable read returns the newest tables; if none succeeds, the newest that any source has are used.
            const results = await Promise.all(options.stateHosts.map(readTables));
            if (results.includes(true)) {
                return;
            }
            const relay = options.findRelay();
            const sources = relay === undefined ? options.stateHosts : [...options.stateHosts, relay];
            await Promise.all(sources.map(source => watchTables(source, 0)));
            await sleep(retryDelayMs);
        }
    };

    /** Alternates between the relay, while it is connected, and the state hosts in turn. */
    const pickSource = (): RpcClient | undefined => {
        pickCount += 1;
        const relay = options.findRelay();
        return relay?.isConnected() === true && pickCount % 2 === 1
            ? relay
            : options.stateHosts[pickCount % options.stateHosts.length];
    };

    const isStateHost = (source: RpcClient | undefined): boolean => source !== undefined && options.stateHosts.includes(source);

    const setDirect = (isNowDirect: boolean): void => {
        if (isNowDirect !== isDirect) {
            isDirect = isNowDirect;
            options.onDirectSourceChange(isDirect);
        }
    };

    const watchLoop = async (): Promise<void> => {
        let source = pickSource();
        while (!state.stopped) {
            setDirect(isStateHost(source));
            const isAnswered = source !== undefined && await watchTables(source, watchWaitMs);
            // A relay that does not answer says nothing about the state hosts.
            if (isAnswered !== isReachable && (isAnswered || isStateHost(source)) && !isStopped()) {
                isReachable = isAnswered;
                options.onReachabilityChange(isReachable);
            }
            if (!isAnswered) {
                setDirect(false);
                await sleep(retryDelayMs);
                source = pickSource();
            }
        }
    };

    return {
        catchUp,
        start: () => {
            void watchLoop();
        },
        stop: () => {
            state.stopped = true;
        },
    };
};

/** Answers watch requests of other entry hosts with the tables in force on this host. */
export interface TablesRelay {
    /** Answers at once when newer tables are in force, else when they change or after `waitMs`. */
    handleWatch(knownVersion: Version, waitMs: number): Promise<StateReply>;
    /** Answers the pending watch requests; to be called when the tables have changed. */
    notifyWatchers(): void;
}

const notDirectReply = (): StateReply => ({
    kind: StateReplyKind.Unavailable,
    retryAfterMs: retryDelayMs,
    message: "This entry host does not read from a state host, so its tables may be old. Ask a state host.",
});

/**
 * Creates a relay of the tables that `currentTables` returns. Only a host that reads from a state host (`isDirect`) confirms
 * that there is nothing newer: two hosts that took each other as relays would confirm old tables to each other for good.
 */
export const createTablesRelay = (
    currentTables: () => VersionedTables | undefined,
    hasNewerThan: (knownVersion: Version) => boolean,
    isDirect: () => boolean,
): TablesRelay => {
    const waitingWatchers = new Set<() => void>();

    const createReply = (knownVersion: Version): StateReply => {
        const versioned = currentTables();
        if (versioned !== undefined && hasNewerThan(knownVersion)) {
            return { kind: StateReplyKind.Tables, versioned };
        }
        return isDirect() ? { kind: StateReplyKind.Unchanged, version: versioned?.version ?? noVersion } : notDirectReply();
    };

    const handleWatch = async (knownVersion: Version, waitMs: number): Promise<StateReply> => {
        if (!hasNewerThan(knownVersion) && waitMs > 0 && isDirect()) {
            await new Promise<void>(resolve => {
                const finish = (): void => {
                    clearTimeout(timer);
                    waitingWatchers.delete(finish);
                    resolve();
                };
                const timer = setTimeout(finish, waitMs);
                waitingWatchers.add(finish);
            });
        }
        return createReply(knownVersion);
    };

    return {
        handleWatch,
        notifyWatchers: () => {
            for (const finish of [...waitingWatchers]) {
                finish();
            }
        },
    };
};
