/** Runs the consensus node of one state host: processes events, makes its writes durable, then sends messages and replies. */
import { createStateNode, defaultStateTiming, NodeActionKind, NodeEventKind, StateReplyKind, StateRole } from "@cassiapick/core";
import type {
    CreateStateNodeCfg,
    FleetMachine,
    NodeAction,
    NodeEvent,
    PeerMessage,
    StateNode,
    StateReply,
    StateRequest,
    StateStatus,
    WriteAction,
} from "@cassiapick/core";
import { createFaultGuard } from "@cassiapick/operations";
import type { EventLog } from "@cassiapick/operations";
import { dispatch, spawn, start, stop } from "nact";
import type { DataFolder } from "./data-folder.js";

const defaultTickIntervalMs = 20;
/** How long a stop waits for the transfer of leadership and for open requests, in milliseconds. */
const leaderTransferTimeoutMs = 3000;
/**
 * Once one write has taken longer than this, in milliseconds, the host ignores its peers and refuses requests, so that the
 * other hosts elect another leader.
 */
const writeStallTimeoutMs = 1000;
/** Interval between attempts to reopen a data folder that failed, in milliseconds. */
const reopenIntervalMs = 500;
const retryAfterMs = 500;

/** Options of {@link createStateDriver}. */
export interface StateDriverOptions {
    nodeCfg: Omit<CreateStateNodeCfg, "stored">;
    folder: DataFolder;
    /** A monotonic clock, in milliseconds. */
    clock: () => number;
    log: EventLog;
    send: (to: string, message: PeerMessage) => void;
    /** Called after a batch of events has been processed; the applied state may have changed. */
    onStepped?: () => void;
    /**
     * Called when a write or sync of the data folder fails, or when the node throws. Without `reopenFolder` the driver processes
     * no more events, and the process must exit.
     */
    onStorageFailed: (err: Error) => void;
    /**
     * Reopens the data folder and rewrites it, so that no state depends on writes whose sync failed. Rejects while the disk
     * refuses writes. When it resolves, the host continues from the stored state, as after a restart.
     */
    reopenFolder?: () => Promise<DataFolder>;
    /** Interval between two ticks of the node, in milliseconds. */
    tickIntervalMs?: number;
}

/** The running consensus node of one state host. */
export interface StateDriver {
    receive(from: string, message: PeerMessage): void;
    /** Resolves with the reply, or with `Unavailable` if the node gives none in time; never rejects. */
    handleRequest(request: StateRequest): Promise<StateReply>;
    status(): StateStatus;
    /** The applied view of the fleet; `undefined` while it may be older than the one before the restart. */
    fleet(): FleetMachine | undefined;
    /** Upper bound of the age of the applied view, in milliseconds; `Infinity` without a leader that a majority confirms. */
    viewAgeMs(): number;
    voters(): string[];
    /** Adds state hosts that a host without a vote may contact. */
    addContacts(hostIds: readonly string[]): void;
    /** Whether the disk accepts writes: none has failed and none is stalled. */
    isStorageHealthy(): boolean;
    /** Transfers leadership, waits for the replies to open requests for a limited time, and closes the folder. */
    stop(): Promise<void>;
}

/** How many files of the data folder a write replaces: that of the hard state, or the snapshot and the log. */
const replacedFilesByKind: Readonly<Partial<Record<WriteAction["kind"], number>>> = {
    [NodeActionKind.SaveHardState]: 1,
    [NodeActionKind.SaveSnapshot]: 2,
};

const isWriteAction = (action: NodeAction): action is WriteAction =>
    action.kind !== NodeActionKind.Send && action.kind !== NodeActionKind.Reply;

const unavailableReply = (cause: string): StateReply => ({
    kind: StateReplyKind.Unavailable,
    retryAfterMs,
    message: `${cause}, so the outcome is unknown. Send the same request to another state host.`,
});
const fullDisk = "The disk of this state host takes no writes";
const stopping = "This state host is stopping";
const noReply = "This state host got no reply in time";

interface PendingReply {
    resolve: (reply: StateReply) => void;
    /** When the request is answered without the node, in milliseconds. */
    deadline: number;
}

/** Creates the node from the stored state and runs it until `stop` is called. */
export const createStateDriver = (options: StateDriverOptions): StateDriver => {
    const { clock, log } = options;
    let { folder } = options;
    /** Contacts that were added after the start; they outlive the node. */
    const contacts = new Set<string>();
    const createNode = (): StateNode => {
        const created = createStateNode({ ...options.nodeCfg, stored: folder.stored });
        created.addContacts([...contacts]);
        return created;
    };
    let node = createNode();
    const guard = createFaultGuard(log);
    const pendingReplies = new Map<number, PendingReply>();
    /** The node answers each request within the first time; its reply may wait for a write that is not stalled yet. */
    const replyTimeoutMs = (options.nodeCfg.timing ?? defaultStateTiming).requestTimeoutMs + writeStallTimeoutMs;
    let nextRequestId = 1;
    let eventQueue: NodeEvent[] = [];
    let isStopped = false;
    let isSuspended = false;
    let writeStartedAt: number | undefined;
    let lastRole = node.status().role;
    let lastVoters = "";

    const runAction = (action: NodeAction): void => {
        if (action.kind === NodeActionKind.Send) {
            options.send(action.to, action.message);
        }
        if (action.kind === NodeActionKind.Reply) {
            pendingReplies.get(action.requestId)?.resolve(action.reply);
            pendingReplies.delete(action.requestId);
        }
    };

    const logRoleChange = (): void => {
        const status = node.status();
        if (status.role !== lastRole) {
            const isLeader = status.role === StateRole.Leader;
            log.log(isLeader ? "becameLeader" : "roleChanged", {
                term: status.term,
                role: status.role,
                leaderId: status.leaderId,
            });
        }
        lastRole = status.role;
    };

    const logVotersChange = (): void => {
        const voters = node.voters().sort().join(",");
        if (voters !== lastVoters) {
            lastVoters = voters;
            log.log("votersChanged", { voters, leaderId: node.status().leaderId });
        }
    };

    const isStalled = (): boolean => writeStartedAt !== undefined && clock() - writeStartedAt > writeStallTimeoutMs;

    const failPendingRequests = (cause: string): void => {
        for (const { resolve } of pendingReplies.values()) {
            resolve(unavailableReply(cause));
        }
        pendingReplies.clear();
    };

    const expireRequests = (): void => {
        const now = clock();
        for (const [requestId, { resolve, deadline }] of pendingReplies) {
            if (now >= deadline) {
                pendingReplies.delete(requestId);
                resolve(unavailableReply(noReply));
            }
        }
    };

    const reopenUntilHealthy = async (reopenFolder: () => Promise<DataFolder>): Promise<void> => {
        while (!isStopped) {
            await new Promise(resolve => setTimeout(resolve, reopenIntervalMs));
            try {
                folder = await reopenFolder();
                node = createNode();
                eventQueue = [];
                isSuspended = false;
                log.log("storageRegained", { logLength: node.status().logLength });
                return;
            }
            catch (err) {
                log.log("storageStillFails", { message: (err as Error).message });
            }
        }
    };

    const handleFailure = (err: Error): void => {
        options.onStorageFailed(err);
        if (options.reopenFolder === undefined) {
            isStopped = true;
            return;
        }
        isSuspended = true;
        eventQueue = [];
        failPendingRequests(fullDisk);
        // Not awaited: the loop ends when the folder is usable again or the host stops.
        void reopenUntilHealthy(options.reopenFolder);
    };

    /**
     * Passes the events to the node. An exception leaves the node in an unknown state, so the host recovers from its stored
     * state, as after a failed write.
     */
    const stepNode = (events: readonly NodeEvent[]): NodeAction[] => {
        try {
            return events.flatMap(event => node.step(event, clock()));
        }
        catch (err) {
            const { message, stack } = err as Error;
            log.log("internalFault", { message, stack });
            handleFailure(err as Error);
            return [];
        }
    };

    /** Tells the node how long one save of the hard state takes, if the writes have replaced files; appends are much faster. */
    const recordSaves = (writes: readonly WriteAction[], tookMs: number): void => {
        const replacedFiles = writes.reduce((sum, { kind }) => sum + (replacedFilesByKind[kind] ?? 0), 0);
        if (replacedFiles > 0) {
            node.recordSave(tookMs / replacedFiles, clock());
        }
    };

    /**
     * Processes all queued events as one batch, so that one sync covers all of their writes. All writes are made durable, in
     * order, before any message or reply of the batch is sent. This is safe, because no message goes out before the write that
     * it depends on.
     */
    const processQueue = async (): Promise<void> => {
        const events = eventQueue;
        eventQueue = [];
        const actions = stepNode(events);
        const writes = actions.filter(isWriteAction);
        if (writes.length > 0) {
            writeStartedAt = clock();
            try {
                await folder.write(writes);
                recordSaves(writes, clock() - writeStartedAt);
            }
            catch (err) {
                handleFailure(err as Error);
            }
            writeStartedAt = undefined;
        }
        if (isStopped || isSuspended) {
            return;
        }
        guard(logRoleChange);
        guard(logVotersChange);
        for (const action of actions) {
            // A message that can't be sent is lost like one on the network; the consensus retries it.
            guard(() => runAction(action));
        }
        guard(() => options.onStepped?.());
    };

    /** Processes the queue. An exception must not reach the actor, which would handle no further event. */
    const processSafely = async (): Promise<void> => {
        try {
            await processQueue();
        }
        catch (err) {
            const { message, stack } = err as Error;
            log.log("internalFault", { message, stack });
            if (!isSuspended) {
                handleFailure(err as Error);
            }
        }
    };

    const system = start();
    const actor = spawn(system, async (_state: undefined, _message: "wake") => {
        if (eventQueue.length > 0 && !isStopped && !isSuspended) {
            await processSafely();
        }
        return undefined;
    }, "state-node");
    const enqueue = (event: NodeEvent): void => {
        if (isSuspended || (isStalled() && event.kind === NodeEventKind.Message)) {
            return;
        }
        eventQueue.push(event);
        if (eventQueue.length === 1) {
            dispatch(actor, "wake");
        }
    };

    const handleRequest = (request: StateRequest): Promise<StateReply> => {
        if (isSuspended || isStopped || isStalled()) {
            return Promise.resolve(unavailableReply(isStopped ? stopping : fullDisk));
        }
        return new Promise(resolve => {
            const requestId = nextRequestId;
            nextRequestId += 1;
            pendingReplies.set(requestId, { resolve, deadline: clock() + replyTimeoutMs });
            enqueue({ kind: NodeEventKind.Request, requestId, request });
        });
    };

    const handleTick = (): void => {
        expireRequests();
        if (isStalled()) {
            failPendingRequests(fullDisk);
            return;
        }
        enqueue({ kind: NodeEventKind.Tick });
    };
    const tickTimer = setInterval(handleTick, options.tickIntervalMs ?? defaultTickIntervalMs);

    const waitUntilCanStop = async (): Promise<void> => {
        const deadline = clock() + leaderTransferTimeoutMs;
        while (!node.canStop() && !isSuspended && clock() < deadline) {
            await new Promise(resolve => setTimeout(resolve, options.tickIntervalMs ?? defaultTickIntervalMs));
        }
    };

    const stopDriver = async (): Promise<void> => {
        enqueue({ kind: NodeEventKind.Leave });
        await waitUntilCanStop();
        // The last replies are sent in the batch after the one in which the node became ready to stop.
        await new Promise(resolve => setTimeout(resolve, options.tickIntervalMs ?? defaultTickIntervalMs));
        isStopped = true;
        failPendingRequests(stopping);
        clearInterval(tickTimer);
        stop(system);
        await folder.close();
    };

    return {
        receive: (from, message) => enqueue({ kind: NodeEventKind.Message, from, message }),
        handleRequest,
        status: () => node.status(),
        fleet: () => isSuspended ? undefined : node.fleet(),
        viewAgeMs: () => isSuspended ? Infinity : node.viewAgeMs(clock()),
        voters: () => node.voters(),
        addContacts: hostIds => {
            hostIds.forEach(hostId => contacts.add(hostId));
            node.addContacts(hostIds);
        },
        isStorageHealthy: () => !isSuspended && !isStalled(),
        stop: stopDriver,
    };
};
