/** The running state host: its decisions behind the connections of peers and operators. */
import { PeerMessageKind, StateReplyKind } from "@cassiapick/core";
import type { CreateStateNodeCfg, PeerMessage, StateReply, StateStatus } from "@cassiapick/core";
import type { EventLog, PeerAddress } from "@cassiapick/operations";
import { createRpcClient, createRpcServer } from "@cassiapick/wire";
import type { RpcClient } from "@cassiapick/wire";
import type { DataFolder } from "./data-folder.js";
import { parseStateRequest } from "./request-schema.js";
import { createStateDriver } from "./state-driver.js";

/** The channel of operators and entry hosts. */
export const stateChannel = "state";
/** The channel between state hosts. */
export const peerChannel = "peer";

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

const peerKinds: ReadonlySet<unknown> = new Set(Object.values(PeerMessageKind));

/** Whether this version knows the kind; a newer peer may send others during an upgrade. */
export const isPeerMessage = (body: unknown): body is PeerMessage =>
    typeof body === "object" && body !== null && "kind" in body && peerKinds.has(body.kind);

/** Starts a state host that serves once the promise resolves. */
export const startStateHost = async (options: StateHostOptions): Promise<StateHost> => {
    const others = options.peers.filter(peer => peer.hostId !== options.hostId);
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
    const driver = createStateDriver({
        node: { ...options.node, hostId: options.hostId, hostIds: options.peers.map(peer => peer.hostId) },
        folder: options.folder,
        clock: options.clock,
        log: options.log,
        send: (to, message) => clients.get(to)?.notify(peerChannel, message),
        storageFailed: options.storageFailed,
    });

    const request = (body: unknown): Promise<StateReply> => {
        const parsed = parseStateRequest(body);
        return parsed.ok
            ? driver.request(parsed.request)
            : Promise.resolve({ kind: StateReplyKind.Invalid, message: parsed.message });
    };

    const server = await createRpcServer({
        host: options.listenHost,
        port: options.listenPort,
        acceptToken: options.acceptToken,
        requests: { [stateChannel]: request },
        notices: {
            [peerChannel]: (body, from) => {
                if (clients.has(from) && isPeerMessage(body)) {
                    driver.receive(from, body);
                }
            },
        },
        onRejected: (reason, remoteAddress) => options.log.log("peerRejected", { reason, remoteAddress }),
    });
    const close = async (): Promise<void> => {
        await driver.stop();
        await server.close();
        for (const client of clients.values()) {
            client.close();
        }
    };

    return { port: server.port, status: () => driver.status(), stop: close };
};
