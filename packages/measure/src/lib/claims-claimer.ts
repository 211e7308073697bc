/** The two measured methods to claim a key: votes in memory, and records synced to disk. */
import { ClaimActionKind, ClaimEventKind, createClaimNode, createRandom } from "@cassiapick/core";
import type { ClaimAction, ClaimEvent, ClaimMessage } from "@cassiapick/core";
import { createRpcClient, createRpcServer } from "@cassiapick/wire";
import type { RpcClient } from "@cassiapick/wire";
import { open } from "node:fs/promises";
import { join } from "node:path";
import { linkDelayMs } from "./claims-message.js";
import type { ClaimsPeer } from "./claims-message.js";

/** One listening process of the measurement. */
export interface Claimer {
    port: number;
    connect(peers: ClaimsPeer[]): Promise<void>;
    /** Claims a new key and finishes it; resolves at the grant or the refusal, with whether the claim was granted. */
    claim(key: string): Promise<boolean>;
}

/** Options of a claimer. */
export interface ClaimerOptions {
    self: ClaimsPeer;
    folder: string;
    linkDelays: boolean;
}

const token = "measurement";
const channel = "claims";
const tickIntervalMs = 20;
const claimTimeoutMs = 5000;
const connectPollIntervalMs = 20;
const answerBodyBytes = 1024;

const acceptToken = (receivedToken: string): boolean => receivedToken === token;

const runAfter = (delayMs: number, run: () => void): void => {
    if (delayMs === 0) {
        run();
        return;
    }
    setTimeout(run, delayMs);
};

const connectAll = async (self: ClaimsPeer, peers: ClaimsPeer[]): Promise<Map<string, RpcClient>> => {
    const clients = new Map(
        peers.filter(peer => peer.hostId !== self.hostId).map(peer => [
            peer.hostId,
            createRpcClient({ host: peer.host, port: peer.port, hostId: self.hostId, token }),
        ]),
    );
    while ([...clients.values()].some(client => !client.isConnected())) {
        await new Promise(resolve => setTimeout(resolve, connectPollIntervalMs));
    }
    return clients;
};

/** Creates an entry host whose claim node exchanges votes with those of its peers. */
export const createVotingClaimer = async ({ self, linkDelays }: ClaimerOptions): Promise<Claimer> => {
    const node = createClaimNode({ hostId: self.hostId, incarnation: 1, random: createRandom(self.port + self.hostId.length) });
    const pendingClaims = new Map<string, (granted: boolean) => void>();
    const peersById = new Map<string, ClaimsPeer>();
    const bufferedMessages = new Map<string, ClaimMessage[]>();
    let clients = new Map<string, RpcClient>();
    let requestCount = 0;

    const completeClaim = (requestId: string, granted: boolean): void => {
        pendingClaims.get(requestId)?.(granted);
        pendingClaims.delete(requestId);
    };

    const flush = (): void => {
        for (const [hostId, messages] of bufferedMessages) {
            const peer = peersById.get(hostId);
            const delayMs = linkDelays && peer !== undefined ? linkDelayMs(self, peer) : 0;
            runAfter(delayMs, () => clients.get(hostId)?.notify(channel, messages));
        }
        bufferedMessages.clear();
    };

    /** Sends the messages of one turn of the event loop to a host in one frame. */
    const send = (hostId: string, message: ClaimMessage): void => {
        if (bufferedMessages.size === 0) {
            setImmediate(flush);
        }
        bufferedMessages.set(hostId, [...bufferedMessages.get(hostId) ?? [], message]);
    };

    const runAction = (action: ClaimAction): void => {
        if (action.kind === ClaimActionKind.Send) {
            send(action.hostId, action.message);
            return;
        }
        completeClaim(action.requestId, action.kind === ClaimActionKind.Granted);
    };

    const stepNode = (event: ClaimEvent): void => {
        for (const action of node.step(event, performance.now())) {
            runAction(action);
        }
    };

    const server = await createRpcServer({
        host: self.host,
        port: 0,
        acceptToken,
        requestHandlers: {},
        noticeHandlers: {
            [channel]: (body, fromHostId) => {
                for (const message of body as ClaimMessage[]) {
                    stepNode({ kind: ClaimEventKind.Message, fromHostId, message });
                }
            },
        },
    });

    const connect = async (peers: ClaimsPeer[]): Promise<void> => {
        for (const peer of peers) {
            peersById.set(peer.hostId, peer);
        }
        clients = await connectAll(self, peers);
        stepNode({ kind: ClaimEventKind.FirstStart });
        const hosts = peers.map(({ hostId, region, availabilityZone }) => ({ hostId, region, availabilityZone }));
        stepNode({ kind: ClaimEventKind.Roster, roster: { version: 1, hosts } });
        setInterval(() => stepNode({ kind: ClaimEventKind.Tick }), tickIntervalMs);
    };

    const claim = async (key: string): Promise<boolean> => {
        requestCount += 1;
        const requestId = String(requestCount);
        const granted = await new Promise<boolean>(resolve => {
            pendingClaims.set(requestId, resolve);
            const deadlineAt = performance.now() + claimTimeoutMs;
            stepNode({ kind: ClaimEventKind.ClaimRequested, requestId, brand: "noel", key, fingerprint: key, deadlineAt });
        });
        if (granted) {
            const answer = { status: 201, headers: [], body: new Uint8Array(answerBodyBytes) };
            stepNode({ kind: ClaimEventKind.Finished, requestId, answer });
        }
        return granted;
    };

    return { port: server.port, connect, claim };
};

/** Creates an entry host that sends each record to all disk hosts at once and grants a claim when a majority has synced it (two of three). */
export const createDiskEntryClaimer = async ({ self, linkDelays }: ClaimerOptions): Promise<Claimer> => {
    const server = await createRpcServer({ host: self.host, port: 0, acceptToken, requestHandlers: {}, noticeHandlers: {} });
    let disks: { peer: ClaimsPeer; client: RpcClient; }[] = [];

    const recordOnDisk = async (peer: ClaimsPeer, client: RpcClient, key: string): Promise<boolean> => {
        const delayMs = linkDelays ? linkDelayMs(self, peer) : 0;
        await new Promise<void>(resolve => runAfter(delayMs, resolve));
        const result = await client.call(channel, { key, by: self.hostId }, claimTimeoutMs);
        await new Promise<void>(resolve => runAfter(delayMs, resolve));
        return result.ok;
    };

    const claim = (key: string): Promise<boolean> =>
        new Promise(resolve => {
            let syncedCount = 0;
            for (const { peer, client } of disks) {
                void recordOnDisk(peer, client, key).then(ok => {
                    syncedCount += ok ? 1 : 0;
                    if (syncedCount * 2 > disks.length) {
                        resolve(true);
                    }
                });
            }
        });

    const connect = async (peers: ClaimsPeer[]): Promise<void> => {
        const clients = await connectAll(self, peers);
        disks = peers.flatMap(peer => {
            const client = clients.get(peer.hostId);
            return client === undefined ? [] : [{ peer, client }];
        });
    };

    return { port: server.port, connect, claim };
};

/** Creates a disk host; records that arrive during a sync are written together by the next one (group commit). */
export const createDiskClaimer = async ({ self, folder }: ClaimerOptions): Promise<Claimer> => {
    const file = await open(join(folder, `${self.hostId}.log`), "a");
    let pendingRecords: { line: string; resolve: () => void; }[] = [];
    let isSyncing = false;

    const syncPending = async (): Promise<void> => {
        isSyncing = true;
        while (pendingRecords.length > 0) {
            const batch = pendingRecords;
            pendingRecords = [];
            await file.appendFile(batch.map(({ line }) => line).join(""));
            await file.datasync();
            for (const { resolve } of batch) {
                resolve();
            }
        }
        isSyncing = false;
    };

    const record = async (body: unknown): Promise<boolean> => {
        await new Promise<void>(resolve => {
            pendingRecords.push({ line: `${JSON.stringify(body)}\n`, resolve });
            if (!isSyncing) {
                void syncPending();
            }
        });
        return true;
    };

    const server = await createRpcServer({
        host: self.host,
        port: 0,
        acceptToken,
        requestHandlers: { [channel]: record },
        noticeHandlers: {},
    });
    return { port: server.port, connect: () => Promise.resolve(), claim: () => Promise.resolve(false) };
};
