/** Keeps the tables of this host up to date from the state hosts or from a relay in the region. */
import { noVersion, StateReplyKind, StateRequestKind } from "@cassiapick/core";
import type { StateReply, Version, VersionedTables } from "@cassiapick/core";
import type { RpcClient } from "@cassiapick/wire";
import { setTimeout as sleep } from "node:timers/promises";

/** The channel of the state hosts' protocol, which relays speak too. */
export const stateChannel = "state";

/** Options of {@link createTablesWatcher}. */
export interface TablesWatcherOptions {
    hostId: string;
    /** Connections to the state hosts. */
    stateHosts: RpcClient[];
    /** A connection to the relay to ask, or `undefined` when this host is to ask the state hosts. */
    relay: () => RpcClient | undefined;
    known: () => Version;
    onTables: (versioned: VersionedTables) => void;
    /** Told when reachability changes. */
    onReachable: (reachable: boolean) => void;
}

/** A running watch. */
export interface TablesWatcher {
    /** Asks several sources and takes the newest answer, before the host serves. */
    catchUp(): Promise<void>;
    start(): void;
    stop(): void;
}

const watchMs = 5000;
const watchTimeoutMs = 7000;
const catchUpMs = 3000;
const catchUpCallMs = 1000;
const pauseMs = 200;

/** Creates a watcher that is not started. */
export const createTablesWatcher = (options: TablesWatcherOptions): TablesWatcher => {
    const state = { stopped: false };
    let next = 0;
    let reachable = true;

    // A function, since another task sets the flag while this one waits.
    const isStopped = (): boolean => state.stopped;

    const take = (reply: StateReply): boolean => {
        if (reply.kind === StateReplyKind.Tables) {
            options.onTables(reply.versioned);
        }
        return reply.kind === StateReplyKind.Tables || reply.kind === StateReplyKind.Unchanged;
    };

    const watch = async (client: RpcClient, waitMs: number): Promise<boolean> => {
        const request = { kind: StateRequestKind.Watch, known: options.known(), waitMs, hostId: options.hostId };
        const result = await client.call(stateChannel, request, watchTimeoutMs);
        return result.ok && take(result.body as StateReply);
    };

    const read = async (client: RpcClient): Promise<boolean> => {
        const result = await client.call(stateChannel, { kind: StateRequestKind.Read }, catchUpCallMs);
        return result.ok && take(result.body as StateReply);
    };

    const catchUp = async (): Promise<void> => {
        const until = performance.now() + catchUpMs;
        while (performance.now() < until && !state.stopped) {
            // A linearizable read is the newest there is; without one, the newest of what anybody answers has to do.
            const answers = await Promise.all(options.stateHosts.map(read));
            if (answers.includes(true)) {
                return;
            }
            const relay = options.relay();
            const sources = relay === undefined ? options.stateHosts : [...options.stateHosts, relay];
            await Promise.all(sources.map(source => watch(source, 0)));
            await sleep(pauseMs);
        }
    };

    const pick = (): RpcClient | undefined => {
        next += 1;
        const relay = options.relay();
        return relay?.isConnected() === true && next % 2 === 1 ? relay : options.stateHosts[next % options.stateHosts.length];
    };

    const run = async (): Promise<void> => {
        let client = pick();
        while (!state.stopped) {
            const isAnswered = client !== undefined && await watch(client, watchMs);
            if (isAnswered !== reachable && !isStopped()) {
                reachable = isAnswered;
                options.onReachable(reachable);
            }
            if (!isAnswered) {
                await sleep(pauseMs);
                client = pick();
            }
        }
    };

    return {
        catchUp,
        start: () => {
            void run();
        },
        stop: () => {
            state.stopped = true;
        },
    };
};

/** Answers the watch of another entry host from the tables in force here. */
export interface TablesRelay {
    answer(known: Version, waitMs: number): Promise<StateReply>;
    /** Wakes those that wait. */
    changed(): void;
}

/** Creates a relay of the tables that `current` yields. */
export const createTablesRelay = (
    current: () => VersionedTables | undefined,
    isNewer: (known: Version) => boolean,
): TablesRelay => {
    const waiting = new Set<() => void>();

    const reply = (known: Version): StateReply => {
        const versioned = current();
        return versioned !== undefined && isNewer(known)
            ? { kind: StateReplyKind.Tables, versioned }
            : { kind: StateReplyKind.Unchanged, version: versioned?.version ?? noVersion };
    };

    const answer = async (known: Version, waitMs: number): Promise<StateReply> => {
        if (!isNewer(known) && waitMs > 0) {
            await new Promise<void>(resolve => {
                const finish = (): void => {
                    clearTimeout(timer);
                    waiting.delete(finish);
                    resolve();
                };
                const timer = setTimeout(finish, waitMs);
                waiting.add(finish);
            });
        }
        return reply(known);
    };

    return {
        answer,
        changed: () => {
            for (const finish of [...waiting]) {
                finish();
            }
        },
    };
};
