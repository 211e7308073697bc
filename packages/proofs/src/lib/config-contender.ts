/** The two versions of the state hosts behind one interface, so that the same faults strike both. */
import { createNaiveStateNode } from "@cassiapick/baseline";
import type { NaiveDisk, NaiveMessage } from "@cassiapick/baseline";
import {
    bootstrapIncarnation,
    createStateNode,
    drawIncarnation,
    NodeActionKind,
    NodeEventKind,
    noVersion,
    StateRole,
} from "@cassiapick/core";
import type {
    HardState,
    NodeAction,
    PeerMessage,
    Random,
    StateReply,
    StateRequest,
    StateTiming,
    StoredState,
    WriteAction,
} from "@cassiapick/core";

/** Short times, so that a case sees many elections. */
const timing: StateTiming = { heartbeatMs: 10, electionTimeoutMs: 60, requestTimeoutMs: 400 };

/** The share of lost disks whose host still has the flag of the first start. */
const flagLeftShare = 0.5;

/** What a host does after one event, in order. */
export type HostAction =
    | { kind: "write"; run: () => void; }
    | { kind: "send"; to: string; message: unknown; }
    | { kind: "reply"; requestId: number; reply: StateReply; };

/** One running process of a host. */
export interface HostProcess {
    tick(now: number): HostAction[];
    receive(from: string, message: unknown, now: number): HostAction[];
    request(requestId: number, request: StateRequest, now: number): HostAction[];
    /** Whether losing the disk of another host is within what the version has to survive. */
    isRecovered(): boolean;
    leads(): boolean;
}

/** The disk of one host, which outlives its processes. */
export interface HostDisk {
    /** Starts a process on what the disk holds. */
    start(random: Random): HostProcess;
    /** Empties the disk. */
    lose(): void;
}

/** Creates the disk of one host at its first start. */
export type CreateDisk = (hostId: string, hostIds: readonly string[], snapshotEvery: number) => HostDisk;

const writers: { [K in WriteAction["kind"]]: (stored: StoredState, action: Extract<WriteAction, { kind: K; }>) => StoredState; } =
    {
        [NodeActionKind.SaveHardState]: (stored, action) => ({ ...stored, hardState: action.hardState }),
        [NodeActionKind.Append]: (stored, action) => ({ ...stored, entries: [...stored.entries, ...action.entries] }),
        [NodeActionKind.Truncate]: (stored, action) => ({
            ...stored,
            entries: stored.entries.filter(entry => entry.index < action.fromIndex),
        }),
        [NodeActionKind.SaveSnapshot]: (stored, action) => ({ ...stored, snapshot: action.snapshot, entries: action.entries }),
    };

const write = (stored: StoredState, action: WriteAction): StoredState =>
    (writers[action.kind] as (before: StoredState, value: WriteAction) => StoredState)(stored, action);

/** The state hosts of cassiapick on a disk that syncs each write before the next action. */
export const createOwnDisk: CreateDisk = (hostId, hostIds, snapshotEvery) => {
    const firstStart: HardState = { incarnation: bootstrapIncarnation, founding: true, term: 0 };
    let stored: StoredState | undefined = { hardState: firstStart, entries: [] };

    const start = (random: Random): HostProcess => {
        const lostDisk = (): HardState =>
            random.next() < flagLeftShare ? firstStart : { incarnation: drawIncarnation(random), founding: false, term: 0 };
        stored ??= { hardState: lostDisk(), entries: [] };
        const node = createStateNode({ hostId, hostIds, stored, random, wallClock: () => 0, snapshotEvery, timing });

        const adapt = (action: NodeAction): HostAction => {
            if (action.kind === NodeActionKind.Send || action.kind === NodeActionKind.Reply) {
                return action;
            }
            const run = (): void => {
                stored = write(stored!, action);
            };
            return { kind: "write", run };
        };

        return {
            tick: now => node.step({ kind: NodeEventKind.Tick }, now).map(adapt),
            receive: (from, message, now) =>
                node.step({ kind: NodeEventKind.Message, from, message: message as PeerMessage }, now).map(adapt),
            request: (requestId, request, now) => node.step({ kind: NodeEventKind.Request, requestId, request }, now).map(adapt),
            isRecovered: () => node.status().role !== StateRole.Recovering,
            leads: () => node.status().role === StateRole.Leader,
        };
    };

    return {
        start,
        lose: () => {
            stored = undefined;
        },
    };
};

const emptyNaiveDisk: NaiveDisk = { versioned: { version: noVersion, tables: { routes: [], pools: [] } }, history: [] };

/** The naive state hosts. */
export const createNaiveDisk: CreateDisk = (hostId, hostIds) => {
    let saved = emptyNaiveDisk;

    const start = (): HostProcess => {
        const node = createNaiveStateNode(hostIds, hostId, saved);
        const adapt = (action: ReturnType<typeof node.step>[number]): HostAction => {
            if (action.kind !== "save") {
                return action;
            }
            const run = (): void => {
                saved = action.disk;
            };
            return { kind: "write", run };
        };
        return {
            tick: () => [],
            receive: (from, message) =>
                node.step({ kind: NodeEventKind.Message, from, message: message as NaiveMessage }).map(adapt),
            request: (requestId, request) => node.step({ kind: NodeEventKind.Request, requestId, request }).map(adapt),
            isRecovered: () => true,
            leads: () => false,
        };
    };

    return {
        start,
        lose: () => {
            saved = emptyNaiveDisk;
        },
    };
};
