/** Runs the decisions of one state host: takes events, makes writes durable, then sends and replies. */
import { createStateNode, NodeActionKind, NodeEventKind, StateReplyKind, StateRole } from "@cassiapick/core";
import type {
    CreateStateNodeCfg,
    FleetMachine,
    NodeAction,
    NodeEvent,
    PeerMessage,
    StateReply,
    StateRequest,
    StateStatus,
    WriteAction,
} from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";
import { dispatch, spawn, start, stop } from "nact";
import type { DataFolder } from "./data-folder.js";

const defaultTickMs = 20;
/** The longest that a stop waits for another leader, in milliseconds. */
const handOverMs = 3000;
/** While one write takes longer than this, in milliseconds, the host takes part in nothing: others elect another leader. */
const stallMs = 1000;
/** Pause between two tries to use a data folder that failed, in milliseconds. */
const reopenMs = 500;
const retryAfterMs = 500;

/** Options of {@link createStateDriver}. */
export interface StateDriverOptions {
    node: Omit<CreateStateNodeCfg, "stored">;
    folder: DataFolder;
    /** Milliseconds of a clock that never goes back. */
    clock: () => number;
    log: EventLog;
    send: (to: string, message: PeerMessage) => void;
    /** Called after events have been taken; what is applied may have changed. */
    stepped?: () => void;
    /** The disk failed. Without `reopen` nothing more may be promised, so the process must end. */
    storageFailed: (err: Error) => void;
    /**
     * Opens the data folder again and rewrites it, so that nothing rests on writes whose sync failed; rejects while the disk
     * takes no writes. With it, the host goes on from its disk like after a restart.
     */
    reopen?: () => Promise<DataFolder>;
    /** Pause between two ticks, in milliseconds. */
    tickMs?: number;
}

/** The running decisions of one state host. */
export interface StateDriver {
    receive(from: string, message: PeerMessage): void;
    request(request: StateRequest): Promise<StateReply>;
    status(): StateStatus;
    /** The applied view of the fleet; `undefined` while it may be older than before the start. */
    fleet(): FleetMachine | undefined;
    /** How old the applied view may be, in milliseconds; `Infinity` without a leader that a majority confirms. */
    ageMs(): number;
    voters(): string[];
    /** Names further hosts to ask, for a host that does not vote. */
    addContacts(hostIds: readonly string[]): void;
    /** Whether the disk takes writes. */
    isStorageSound(): boolean;
    /** Hands leadership on, answers what waits, and closes the folder. */
    stop(): Promise<void>;
}

const isWrite = (action: NodeAction): action is WriteAction =>
    action.kind !== NodeActionKind.Send && action.kind !== NodeActionKind.Reply;

const storageReply = (): StateReply => ({
    kind: StateReplyKind.Unavailable,
    retryAfterMs,
    message:
        "The disk of this state host takes no writes, so the outcome is unknown. Send the same request to another state host.",
});

/** Runs a state host's decisions until it is stopped. */
export const createStateDriver = (options: StateDriverOptions): StateDriver => {
    const { clock, log } = options;
    let { folder } = options;
    let node = createStateNode({ ...options.node, stored: folder.stored });
    const waiting = new Map<number, (reply: StateReply) => void>();
    let nextRequestId = 1;
    let queue: NodeEvent[] = [];
    let stopped = false;
    let suspended = false;
    let writingSince: number | undefined;
    let role = node.status().role;

    const perform = (action: NodeAction): void => {
        if (action.kind === NodeActionKind.Send) {
            options.send(action.to, action.message);
        }
        if (action.kind === NodeActionKind.Reply) {
            waiting.get(action.requestId)?.(action.reply);
            waiting.delete(action.requestId);
        }
    };

    const reportRole = (): void => {
        const status = node.status();
        if (status.role !== role) {
            const isLeader = status.role === StateRole.Leader;
            log.log(isLeader ? "becameLeader" : "roleChanged", {
                term: status.term,
                role: status.role,
                leaderId: status.leaderId,
            });
        }
        role = status.role;
    };

    const isStalled = (): boolean => writingSince !== undefined && clock() - writingSince > stallMs;

    const answerAllUnavailable = (): void => {
        for (const reply of waiting.values()) {
            reply(storageReply());
        }
        waiting.clear();
    };

    const reopenUntilSound = async (reopen: () => Promise<DataFolder>): Promise<void> => {
        while (!stopped) {
            await new Promise(resolve => setTimeout(resolve, reopenMs));
            try {
                folder = await reopen();
                node = createStateNode({ ...options.node, stored: folder.stored });
                queue = [];
                suspended = false;
                log.log("storageRegained", { logLength: node.status().logLength });
                return;
            }
            catch (err) {
                log.log("storageStillFails", { message: (err as Error).message });
            }
        }
    };

    const fail = (err: Error): void => {
        options.storageFailed(err);
        if (options.reopen === undefined) {
            stopped = true;
            return;
        }
        suspended = true;
        queue = [];
        answerAllUnavailable();
        // It ends by itself, also when the host stops.
        void reopenUntilSound(options.reopen);
    };

    /** A fault of the decisions leaves them in an unknown state, so the host goes on from its disk as after a failed write. */
    const decide = (events: readonly NodeEvent[]): NodeAction[] => {
        try {
            return events.flatMap(event => node.step(event, clock()));
        }
        catch (err) {
            const { message, stack } = err as Error;
            log.log("internalFault", { message, stack });
            fail(err as Error);
            return [];
        }
    };

    const tellStepped = (): void => {
        try {
            options.stepped?.();
        }
        catch (err) {
            // What is told to others is told again with the next step; the decisions go on.
            const { message, stack } = err as Error;
            log.log("internalFault", { message, stack });
        }
    };

    /**
     * Takes every event that has come since the last turn, so that one sync serves all of them. The writes go first and in
     * order: that only makes a promise durable earlier than it is given.
     */
    const turn = async (): Promise<void> => {
        const events = queue;
        queue = [];
        const actions = decide(events);
        const writes = actions.filter(isWrite);
        if (writes.length > 0) {
            writingSince = clock();
            try {
                await folder.write(writes);
            }
            catch (err) {
                fail(err as Error);
            }
            writingSince = undefined;
        }
        if (stopped || suspended) {
            return;
        }
        reportRole();
        for (const action of actions) {
            perform(action);
        }
        tellStepped();
    };

    const system = start();
    const driver = spawn(system, async (_state: undefined, _message: "wake") => {
        if (queue.length > 0 && !stopped && !suspended) {
            await turn();
        }
        return undefined;
    }, "state-node");
    const push = (event: NodeEvent): void => {
        if (suspended || (isStalled() && event.kind === NodeEventKind.Message)) {
            return;
        }
        queue.push(event);
        if (queue.length === 1) {
            dispatch(driver, "wake");
        }
    };

    const request = (asked: StateRequest): Promise<StateReply> => {
        if (suspended || stopped || isStalled()) {
            return Promise.resolve(storageReply());
        }
        return new Promise(resolve => {
            const requestId = nextRequestId;
            nextRequestId += 1;
            waiting.set(requestId, resolve);
            push({ kind: NodeEventKind.Request, requestId, request: asked });
        });
    };

    const tick = (): void => {
        if (isStalled()) {
            answerAllUnavailable();
            return;
        }
        push({ kind: NodeEventKind.Tick });
    };
    const ticker = setInterval(tick, options.tickMs ?? defaultTickMs);

    const waitUntilIdle = async (): Promise<void> => {
        const deadline = clock() + handOverMs;
        while (!node.canStop() && !suspended && clock() < deadline) {
            await new Promise(resolve => setTimeout(resolve, options.tickMs ?? defaultTickMs));
        }
    };

    const close = async (): Promise<void> => {
        push({ kind: NodeEventKind.Leave });
        await waitUntilIdle();
        // The last replies leave in the turn after the host has become idle.
        await new Promise(resolve => setTimeout(resolve, options.tickMs ?? defaultTickMs));
        stopped = true;
        clearInterval(ticker);
        stop(system);
        await folder.close();
    };

    return {
        receive: (from, message) => push({ kind: NodeEventKind.Message, from, message }),
        request,
        status: () => node.status(),
        fleet: () => suspended ? undefined : node.fleet(),
        ageMs: () => suspended ? Infinity : node.viewAgeMs(clock()),
        voters: () => node.voters(),
        addContacts: hostIds => node.addContacts(hostIds),
        isStorageSound: () => !suspended && !isStalled(),
        stop: close,
    };
};
