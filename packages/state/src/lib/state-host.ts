/** A state host: the consensus node, served to peers, operators and entry hosts over RPC. */
import { PeerMessageKind, StateReplyKind } from "@cassiapick/core";
import type { CreateStateNodeCfg, PeerMessage, StateReply, StateStatus } from "@cassiapick/core";
import type { EventLog, PeerAddress } from "@cassiapick/operations";
import { createRpcClient, createRpcServer } from "@cassiapick/wire";
import type { RpcClient } from "@cassiapick/wire";
import type { DataFolder } from "./data-folder.js";
import { parseStateRequest } from "./request-schema.js";
import { createStateDriver } from "./state-driver.js";

/** The RPC channel for requests of operators and entry hosts. */
export const stateChannel = "state";
/** The RPC channel for messages between state hosts. */
export const peerChannel = "peer";

/** Options of {@link startStateHost}. */
export interface StateHostOptions {
    hostId: string;
    listenHost: string;
    /** 0 lets the operating system choose. */
    listenPort: number;
    /** The addresses of all state hosts, including this one. */
    peers: PeerAddress[];
    token: string;
    acceptToken: (token: string) => boolean;
    folder: DataFolder;
    nodeCfg: Pick<CreateStateNodeCfg, "random" | "wallClock" | "timing" | "snapshotEvery" | "firstEpoch">;
    /** A monotonic clock, in milliseconds. */
    clock: () => number;
    log: EventLog;
    /** Called when a write or sync of the data folder fails, or when the node throws; the process must then exit. */
    onStorageFailed: (err: Error) => void;
}

/** A running state host. */
export interface StateHost {
    port: number;
    status(): StateStatus;
    /** Transfers leadership, waits for the replies to open requests for a limited time, and closes all connections. */
    stop(): Promise<void>;
}

const peerMessageKinds: ReadonlySet<unknown> = new Set(Object.values(PeerMessageKind));

/** Whether the message has a kind that this version supports; during an upgrade a newer peer may send other kinds. */
export const isPeerMessage = (body: unknown): body is PeerMessage =>
    typeof body === "object" && body !== null && "kind" in body && peerMessageKinds.has(body.kind);

/** Starts a state host; resolves once it accepts connections. */
export const startStateHost = async (options: StateHostOptions): Promise<StateHost> => {
    const otherPeers = options.peers.filter(peer => peer.hostId !== options.hostId);
    const clients = new Map<string, RpcClient>(otherPeers.map(peer => [
        peer.hostId,
        createRpcClient({
            host: peer.host,
            port: peer.port,
            hostId: options.hostId,
            token: options.token,
            localAddress: options.listenHost,
        }),
    ]));
    const driver = createStateDriver({
        nodeCfg: { ...options.nodeCfg, hostId: options.hostId, hostIds: options.peers.map(peer => peer.hostId) },
        folder: options.folder,
        clock: options.clock,
        log: options.log,
        send: (to, message) => clients.get(to)?.notify(peerChannel, message),
        onStorageFailed: options.onStorageFailed,
    });

    const handleRequest = (body: unknown): Promise<StateReply> => {
        const parsed = parseStateRequest(body);
        return parsed.ok
            ? driver.handleRequest(parsed.request)
            : Promise.resolve({ kind: StateReplyKind.Invalid, message: parsed.message });
    };

    const server = await createRpcServer({
        host: options.listenHost,
        port: options.listenPort,
        acceptToken: options.acceptToken,
        requestHandlers: { [stateChannel]: handleRequest },
        noticeHandlers: {
            [peerChannel]: (body, from) => {
                if (clients.has(from) && isPeerMessage(body)) {
                    driver.receive(from, body);
                }
            },
        },
        onRejected: (reason, remoteAddress) => options.log.log("peerRejected", { reason, remoteAddress }),
    });
    const stop = async (): Promise<void> => {
        await driver.stop();
        await server.close();
        for (const client of clients.values()) {
            client.close();
        }
    };

    return { port: server.port, status: () => driver.status(), stop };
};
