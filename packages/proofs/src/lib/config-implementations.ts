/** Adapts the state hosts of cassiapick and the naive ones to one interface, so that both are run with the same faults. */
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

/** Short times, so that a case has many elections. */
const timing: StateTiming = { heartbeatMs: 10, electionTimeoutMs: 60, requestTimeoutMs: 400 };

/** The fraction of lost disks after which the host is started with the flag of a first start. */
const flagRetainedShare = 0.5;

/** One of the actions that a host takes, in order, after an event. */
export type HostAction =
    | { kind: "write"; run: () => void; }
    | { kind: "send"; to: string; message: unknown; }
    | { kind: "reply"; requestId: number; reply: StateReply; };

/** One running process of a host. */
export interface HostProcess {
    tick(now: number): HostAction[];
    receive(from: string, message: unknown, now: number): HostAction[];
    request(requestId: number, request: StateRequest, now: number): HostAction[];
    /** Whether the host has recovered, so that the cluster must survive the loss of the disk of another host. */
    isRecovered(): boolean;
    /** Whether the host considers itself the leader. */
    isLeader(): boolean;
}

/** The disk of one host, which outlives its processes. */
export interface HostDisk {
    /** Starts a process with the contents of the disk. */
    start(random: Random): HostProcess;
    /** Empties the disk. */
    eraseContents(): void;
}

/** Creates the disk of one host at its first start. */
export type CreateDisk = (hostId: string, hostIds: readonly string[], snapshotEvery: number) => HostDisk;

const writeHandlers: {
    [K in WriteAction["kind"]]: (stored: StoredState, action: Extract<WriteAction, { kind: K; }>) => StoredState;
} = {
    [NodeActionKind.SaveHardState]: (stored, action) => ({ ...stored, hardState: action.hardState }),
    [NodeActionKind.Append]: (stored, action) => ({ ...stored, entries: [...stored.entries, ...action.entries] }),
    [NodeActionKind.Truncate]: (stored, action) => ({
        ...stored,
        entries: stored.entries.filter(entry => entry.index < action.fromIndex),
    }),
    [NodeActionKind.SaveSnapshot]: (stored, action) => ({ ...stored, snapshot: action.snapshot, entries: action.entries }),
};

const applyWrite = (stored: StoredState, action: WriteAction): StoredState =>
    (writeHandlers[action.kind] as (stored: StoredState, value: WriteAction) => StoredState)(stored, action);

/** Creates a disk for the state hosts of cassiapick; it syncs each write before the next action. */
export const createCassiapickDisk: CreateDisk = (hostId, hostIds, snapshotEvery) => {
    const firstHardState: HardState = { incarnation: bootstrapIncarnation, founding: true, term: 0 };
    let stored: StoredState | undefined = { hardState: firstHardState, entries: [] };

    const start = (random: Random): HostProcess => {
        const drawHardStateAfterLoss = (): HardState =>
            random.next() < flagRetainedShare
                ? firstHardState
                : { incarnation: drawIncarnation(random), founding: false, term: 0 };
        stored ??= { hardState: drawHardStateAfterLoss(), entries: [] };
        const node = createStateNode({ hostId, hostIds, stored, random, wallClock: () => 0, snapshotEvery, timing });

        const toHostAction = (action: NodeAction): HostAction => {
            if (action.kind === NodeActionKind.Send || action.kind === NodeActionKind.Reply) {
                return action;
            }
            const run = (): void => {
                stored = applyWrite(stored!, action);
            };
            return { kind: "write", run };
        };

        return {
            tick: now => node.step({ kind: NodeEventKind.Tick }, now).map(toHostAction),
            receive: (from, message, now) =>
                node.step({ kind: NodeEventKind.Message, from, message: message as PeerMessage }, now).map(toHostAction),
            request: (requestId, request, now) =>
                node.step({ kind: NodeEventKind.Request, requestId, request }, now).map(toHostAction),
            isRecovered: () => node.status().role !== StateRole.Recovering,
            isLeader: () => node.status().role === StateRole.Leader,
        };
    };

    return {
        start,
        eraseContents: () => {
            stored = undefined;
        },
    };
};

const emptyNaiveDisk: NaiveDisk = { versioned: { version: noVersion, tables: { routes: [], pools: [] } }, history: [] };

/** Creates a disk for the naive state hosts. */
export const createNaiveDisk: CreateDisk = (hostId, hostIds) => {
    let savedDisk = emptyNaiveDisk;

    const start = (): HostProcess => {
        const node = createNaiveStateNode(hostIds, hostId, savedDisk);
        const toHostAction = (action: ReturnType<typeof node.step>[number]): HostAction => {
            if (action.kind !== "save") {
                return action;
            }
            const run = (): void => {
                savedDisk = action.disk;
            };
            return { kind: "write", run };
        };
        return {
            tick: () => [],
            receive: (from, message) =>
                node.step({ kind: NodeEventKind.Message, from, message: message as NaiveMessage }).map(toHostAction),
            request: (requestId, request) => node.step({ kind: NodeEventKind.Request, requestId, request }).map(toHostAction),
            isRecovered: () => true,
            isLeader: () => false,
        };
    };

    return {
        start,
        eraseContents: () => {
            savedDisk = emptyNaiveDisk;
        },
    };
};
