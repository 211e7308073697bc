/** The two ways to claim a key that are measured: votes in memory, and synced records. */
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
    /** Claims a new key and finishes it; resolves with whether it was granted, at the moment of the grant. */
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
const tickMs = 20;
const deadlineMs = 5000;
const connectPauseMs = 20;
const answerBytes = 1024;

const acceptToken = (given: string): boolean => given === token;

const later = (delayMs: number, run: () => void): void => {
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
        await new Promise(resolve => setTimeout(resolve, connectPauseMs));
    }
    return clients;
};

/** An entry host whose claim node talks to those of the others. */
export const createVotingClaimer = async ({ self, linkDelays }: ClaimerOptions): Promise<Claimer> => {
    const node = createClaimNode({ hostId: self.hostId, incarnation: 1, random: createRandom(self.port + self.hostId.length) });
    const waiting = new Map<string, (granted: boolean) => void>();
    const places = new Map<string, ClaimsPeer>();
    const outbox = new Map<string, ClaimMessage[]>();
    let clients = new Map<string, RpcClient>();
    let requests = 0;

    const settle = (requestId: string, granted: boolean): void => {
        waiting.get(requestId)?.(granted);
        waiting.delete(requestId);
    };

    const flush = (): void => {
        for (const [hostId, messages] of outbox) {
            const place = places.get(hostId);
            const delayMs = linkDelays && place !== undefined ? linkDelayMs(self, place) : 0;
            later(delayMs, () => clients.get(hostId)?.notify(channel, messages));
        }
        outbox.clear();
    };

    /** Messages of one turn of the event loop share a frame. */
    const send = (hostId: string, message: ClaimMessage): void => {
        if (outbox.size === 0) {
            setImmediate(flush);
        }
        outbox.set(hostId, [...outbox.get(hostId) ?? [], message]);
    };

    const carryOut = (action: ClaimAction): void => {
        if (action.kind === ClaimActionKind.Send) {
            send(action.hostId, action.message);
            return;
        }
        settle(action.requestId, action.kind === ClaimActionKind.Granted);
    };

    const hand = (event: ClaimEvent): void => {
        for (const action of node.step(event, performance.now())) {
            carryOut(action);
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
                    hand({ kind: ClaimEventKind.Message, fromHostId, message });
                }
            },
        },
    });

    const connect = async (peers: ClaimsPeer[]): Promise<void> => {
        for (const peer of peers) {
            places.set(peer.hostId, peer);
        }
        clients = await connectAll(self, peers);
        hand({ kind: ClaimEventKind.FirstStart });
        const hosts = peers.map(({ hostId, region, availabilityZone }) => ({ hostId, region, availabilityZone }));
        hand({ kind: ClaimEventKind.Roster, roster: { version: 1, hosts } });
        setInterval(() => hand({ kind: ClaimEventKind.Tick }), tickMs);
    };

    const claim = async (key: string): Promise<boolean> => {
        requests += 1;
        const requestId = String(requests);
        const granted = await new Promise<boolean>(resolve => {
            waiting.set(requestId, resolve);
            const deadlineAt = performance.now() + deadlineMs;
            hand({ kind: ClaimEventKind.ClaimRequested, requestId, brand: "noel", key, fingerprint: key, deadlineAt });
        });
        if (granted) {
            const answer = { status: 201, headers: [], body: new Uint8Array(answerBytes) };
            hand({ kind: ClaimEventKind.Finished, requestId, answer });
        }
        return granted;
    };

    return { port: server.port, connect, claim };
};

/** An entry host that asks every disk host at once, and takes two synced records for a claim. */
export const createDiskEntryClaimer = async ({ self, linkDelays }: ClaimerOptions): Promise<Claimer> => {
    const server = await createRpcServer({ host: self.host, port: 0, acceptToken, requestHandlers: {}, noticeHandlers: {} });
    let disks: { peer: ClaimsPeer; client: RpcClient; }[] = [];

    const record = async (peer: ClaimsPeer, client: RpcClient, key: string): Promise<boolean> => {
        const delayMs = linkDelays ? linkDelayMs(self, peer) : 0;
        await new Promise<void>(resolve => later(delayMs, resolve));
        const result = await client.call(channel, { key, by: self.hostId }, deadlineMs);
        await new Promise<void>(resolve => later(delayMs, resolve));
        return result.ok;
    };

    const claim = (key: string): Promise<boolean> =>
        new Promise(resolve => {
            let synced = 0;
            for (const { peer, client } of disks) {
                void record(peer, client, key).then(ok => {
                    synced += ok ? 1 : 0;
                    if (synced * 2 > disks.length) {
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

/** A disk host: records that arrive during a sync share the next one. */
export const createDiskClaimer = async ({ self, folder }: ClaimerOptions): Promise<Claimer> => {
    const file = await open(join(folder, `${self.hostId}.log`), "a");
    let waiting: { line: string; resolve: () => void; }[] = [];
    let isSyncing = false;

    const syncAll = async (): Promise<void> => {
        isSyncing = true;
        while (waiting.length > 0) {
            const batch = waiting;
            waiting = [];
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
            waiting.push({ line: `${JSON.stringify(body)}\n`, resolve });
            if (!isSyncing) {
                void syncAll();
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
