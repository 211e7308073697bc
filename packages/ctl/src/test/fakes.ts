/** Fake state and entry hosts that answer the requests of the command line from memory. */
import { compareVersions, MemberState, noVersion, StateReplyKind, StateRequestKind, StateRole } from "@cassiapick/core";
import type { EntryStatus, HistoryEntry, StateReply, StateRequest, Version, VersionedTables } from "@cassiapick/core";
import { createRpcServer } from "@cassiapick/wire";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

const host = "127.0.0.1";
export const token = "operators-secret";

/** The tables and changes that the fake state hosts share. */
export interface FakeStore {
    current: VersionedTables;
    history: HistoryEntry[];
    applied: StateRequest[];
}

export const createFakeStore = (): FakeStore => ({
    current: { version: noVersion, tables: { routes: [], pools: [] } },
    history: [],
    applied: [],
});

/** Replies as a leader does: a repeated change id gets the same reply, and a stale version gets a conflict. */
export const leaderReply = (store: FakeStore, request: StateRequest): StateReply => {
    if (request.kind === StateRequestKind.Read) {
        return { kind: StateReplyKind.Tables, versioned: store.current };
    }
    if (request.kind === StateRequestKind.History) {
        return { kind: StateReplyKind.History, entries: store.history.slice(0, request.limit) };
    }
    if (request.kind !== StateRequestKind.Apply) {
        const status = {
            hostId: "state-1",
            role: StateRole.Leader,
            term: 1,
            committed: store.current.version,
            logLength: 0,
            snapshotIndex: 0,
        };
        return { kind: StateReplyKind.Status, status };
    }
    store.applied.push(request);
    const accepted = store.history.find(entry => entry.changeId === request.changeId);
    if (accepted !== undefined) {
        return { kind: StateReplyKind.Applied, version: accepted.version };
    }
    if (compareVersions(request.expectedVersion, store.current.version) !== 0) {
        const winningChangeId = store.history[0]?.changeId ?? "";
        return {
            kind: StateReplyKind.Conflict,
            version: store.current.version,
            winningChangeId,
            message: "The version is stale.",
        };
    }
    const version: Version = { epoch: 1, index: store.current.version.index + 1 };
    store.current = { version, tables: request.tables };
    store.history.unshift({ version, changeId: request.changeId, author: request.author, acceptedAt: 1000 });
    return { kind: StateReplyKind.Applied, version };
};

/** A fake host that is listening. */
export interface FakeHost {
    port: number;
    close(): Promise<void>;
}

/** Starts a fake state host; a reply of `undefined` is lost. */
export const startFakeStateHost = (reply: (request: StateRequest) => StateReply | undefined): Promise<FakeHost> =>
    createRpcServer({
        host,
        port: 0,
        acceptToken: offered => offered === token,
        requestHandlers: { state: body => Promise.resolve(reply(body as StateRequest)) },
        noticeHandlers: {},
    });

/** Starts a fake entry host that serves its status and the addresses for callers. */
export const startFakeEntryHost = async (status: () => Partial<EntryStatus>): Promise<FakeHost> => {
    const server = createServer((req, res) => {
        const { authorization } = req.headers;
        if (req.url === "/.well-known/cassiapick/addresses?brand=oka&kind=seat-maps") {
            res.statusCode = authorization === undefined ? 200 : 400;
            res.end(JSON.stringify({ addresses: ["127.0.0.1:80"] }));
            return;
        }
        res.statusCode = authorization === `Bearer ${token}` ? 200 : 401;
        res.end(JSON.stringify(createFakeStatus({ callerAddress: `127.0.0.1:${req.socket.localPort ?? 0}`, ...status() })));
    });
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    const close = (): Promise<void> =>
        new Promise(resolve => {
            server.close(() => resolve());
            server.closeAllConnections();
        });
    return { port: (server.address() as AddressInfo).port, close };
};

const createFakeStatus = (overrides: Partial<EntryStatus>): EntryStatus => ({
    hostId: "entry-1",
    region: "montreal",
    availabilityZone: "montreal-a",
    callerAddress: "127.0.0.1:8080",
    version: { epoch: 1, index: 1 },
    draining: false,
    startedAt: 0,
    incarnation: 1,
    now: 1000,
    pools: [{
        destination: "seat-maps",
        service: "seat-maps",
        floorSlots: 6,
        queued: 0,
        ownerHostId: "entry-1",
        members: [{
            serverId: "map-1",
            address: "127.0.0.1:9001",
            availabilityZone: "montreal-a",
            state: MemberState.Ejected,
            slots: 3,
            inFlight: 0,
            evidence: 7.5,
            reason: "It answers 9 times slower than the others.",
        }],
    }],
    peers: [],
    burn: { bucketMs: 60_000, keptSince: 0, series: [] },
    ...overrides,
});
