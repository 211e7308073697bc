/** The running state host: actors that own the decisions, the disk and the connections. */
import { createStateNode, NodeActionKind, NodeEventKind, PeerMessageKind, StateReplyKind, StateRole } from "@cassiapick/core";
import type {
    CreateStateNodeCfg,
    NodeAction,
    NodeEvent,
    PeerMessage,
    StateReply,
    StateRequest,
    StateStatus,
    WriteAction,
} from "@cassiapick/core";
import type { EventLog, PeerAddress } from "@cassiapick/operations";
import { createRpcClient, createRpcServer } from "@cassiapick/wire";
import type { RpcClient } from "@cassiapick/wire";
import { dispatch, spawn, start, stop } from "nact";
import type { DataFolder } from "./data-folder.js";
import { parseStateRequest } from "./request-schema.js";

/** The channel of operators and entry hosts. */
export const stateChannel = "state";
/** The channel between state hosts. */
export const peerChannel = "peer";

const tickMs = 20;
/** The longest that a stop waits for another leader, in milliseconds. */
const handOverMs = 3000;

/** Options of {@link startStateHost}. */
export interface StateHostOptions {
    hostId: string;
    listenHost: string;
    /** 0 lets the system choose. */
    listenPort: number;
    /** Every state host, this one included. */
    peers: PeerAddress[];
    token: string;
    acceptToken: (token: string) => boolean;
    folder: DataFolder;
    node: Pick<CreateStateNodeCfg, "random" | "wallClock" | "timing" | "snapshotEvery" | "firstEpoch">;
    /** Milliseconds of a clock that never goes back. */
    clock: () => number;
    log: EventLog;
    /** The disk failed: nothing more may be promised, so the process must end. */
    storageFailed: (err: Error) => void;
}

/** A running state host. */
export interface StateHost {
    port: number;
    status(): StateStatus;
    /** Hands leadership on, answers what waits, and closes. */
    stop(): Promise<void>;
}

const isWrite = (action: NodeAction): action is WriteAction =>
    action.kind !== NodeActionKind.Send && action.kind !== NodeActionKind.Reply;

const peerKinds: ReadonlySet<unknown> = new Set(Object.values(PeerMessageKind));

/** Whether this version knows the kind; a newer peer may send others during an upgrade. */
const isPeerMessage = (body: unknown): body is PeerMessage =>
    typeof body === "object" && body !== null && "kind" in body && peerKinds.has(body.kind);

/** Starts a state host that serves once the promise resolves. */
export const startStateHost = async (options: StateHostOptions): Promise<StateHost> => {
    const others = options.peers.filter(peer => peer.hostId !== options.hostId);
    const node = createStateNode({
        ...options.node,
        hostId: options.hostId,
        hostIds: options.peers.map(peer => peer.hostId),
        stored: options.folder.stored,
    });
    const clients = new Map<string, RpcClient>(others.map(peer => [
        peer.hostId,
        createRpcClient({
            host: peer.host,
            port: peer.port,
            hostId: options.hostId,
            token: options.token,
            localAddress: options.listenHost,
        }),
    ]));
    const waiting = new Map<number, (reply: StateReply) => void>();
    let nextRequestId = 1;
    let queue: NodeEvent[] = [];
    let stopped = false;
    let role = node.status().role;

    const perform = (action: NodeAction): void => {
        if (action.kind === NodeActionKind.Send) {
            clients.get(action.to)?.notify(peerChannel, action.message);
        }
        if (action.kind === NodeActionKind.Reply) {
            waiting.get(action.requestId)?.(action.reply);
            waiting.delete(action.requestId);
        }
    };

    const reportRole = (): void => {
        const status = node.status();
        if (status.role !== role && status.role === StateRole.Leader) {
            options.log.log("becameLeader", { term: status.term });
        }
        role = status.role;
    };

    /**
     * Takes every event that has come since the last turn, so that one sync serves all of them. The writes go first and in
     * order: that only makes a promise durable earlier than it is given.
     */
    const turn = async (): Promise<void> => {
        const events = queue;
        queue = [];
        const actions = events.flatMap(event => node.step(event, options.clock()));
        try {
            await options.folder.write(actions.filter(isWrite));
        }
        catch (err) {
            stopped = true;
            options.storageFailed(err as Error);
        }
        if (stopped) {
            return;
        }
        reportRole();
        for (const action of actions) {
            perform(action);
        }
    };

    const system = start();
    const driver = spawn(system, async (_state: undefined, _message: "wake") => {
        if (queue.length > 0 && !stopped) {
            await turn();
        }
        return undefined;
    }, "state-node");
    const push = (event: NodeEvent): void => {
        queue.push(event);
        if (queue.length === 1) {
            dispatch(driver, "wake");
        }
    };

    const request = (body: unknown): Promise<StateReply> => {
        const parsed = parseStateRequest(body);
        if (!parsed.ok) {
            return Promise.resolve({ kind: StateReplyKind.Invalid, message: parsed.message });
        }
        return new Promise(resolve => {
            const requestId = nextRequestId;
            nextRequestId += 1;
            waiting.set(requestId, resolve);
            push({ kind: NodeEventKind.Request, requestId, request: parsed.request satisfies StateRequest });
        });
    };

    const server = await createRpcServer({
        host: options.listenHost,
        port: options.listenPort,
        acceptToken: options.acceptToken,
        requests: { [stateChannel]: request },
        notices: {
            [peerChannel]: (body, from) => {
                if (clients.has(from) && isPeerMessage(body)) {
                    push({ kind: NodeEventKind.Message, from, message: body });
                }
            },
        },
        onRejected: (reason, remoteAddress) => options.log.log("peerRejected", { reason, remoteAddress }),
    });
    const ticker = setInterval(() => push({ kind: NodeEventKind.Tick }), tickMs);

    const waitUntilIdle = async (): Promise<void> => {
        const deadline = options.clock() + handOverMs;
        while (!node.isIdle() && options.clock() < deadline) {
            await new Promise(resolve => setTimeout(resolve, tickMs));
        }
    };

    const close = async (): Promise<void> => {
        push({ kind: NodeEventKind.Leave });
        await waitUntilIdle();
        // The last replies leave in the turn after the host has become idle.
        await new Promise(resolve => setTimeout(resolve, tickMs));
        stopped = true;
        clearInterval(ticker);
        await server.close();
        for (const client of clients.values()) {
            client.close();
        }
        stop(system);
        await options.folder.close();
    };

    return { port: server.port, status: () => node.status(), stop: close };
};
