import { compareVersions, StateReplyKind } from "@cassiapick/core";
import type { StateReply, Version, VersionedTables, WatchRequest } from "@cassiapick/core";
import type { RpcClient } from "@cassiapick/wire";
import { expect } from "chai";
import { createTablesRelay, createTablesWatcher } from "../lib/tables-watcher.js";
import type { TablesRelay } from "../lib/tables-watcher.js";

const oldVersion: Version = { epoch: 0, index: 1 };
const newVersion: Version = { epoch: 0, index: 2 };
const newTables: VersionedTables = { version: newVersion, tables: { routes: [], pools: [] } };
/** A host that has asked its relays this often without the new tables does not ask a state host at all. */
const maxRelayCalls = 200;

const createClient = (reply: (request: WatchRequest) => Promise<StateReply>): RpcClient => ({
    call: async (_channel, body) => {
        await new Promise(resolve => setImmediate(resolve));
        return { ok: true, body: await reply(body as WatchRequest) };
    },
    notify: () => undefined,
    isConnected: () => true,
    close: () => undefined,
});

/** Plays entry hosts whose relays are given by index, until each has the new tables or has asked its relay too often. */
const play = async (relays: readonly number[]): Promise<Version[]> => {
    const versions = relays.map(() => oldVersion);
    const hostRelays: TablesRelay[] = [];
    const stops: (() => void)[] = [];
    await Promise.all(relays.map((relayIndex, index) =>
        new Promise<void>(resolve => {
            let relayCalls = 0;
            let isDirect = false;
            hostRelays.push(createTablesRelay(
                () => ({ ...newTables, version: versions[index]! }),
                known => compareVersions(versions[index]!, known) > 0,
                () => isDirect,
            ));
            const relay = createClient(async request => {
                relayCalls += 1;
                if (relayCalls >= maxRelayCalls) {
                    resolve();
                }
                return hostRelays[relayIndex]!.handleWatch(request.known, 0);
            });
            const stateHost = createClient(() => Promise.resolve({ kind: StateReplyKind.Tables, versioned: newTables }));
            const watcher = createTablesWatcher({
                hostId: `h${index}`,
                stateHosts: [stateHost],
                findRelay: () => relay,
                knownVersion: () => versions[index]!,
                onTables: ({ version }) => {
                    versions[index] = version;
                    resolve();
                },
                onReachabilityChange: () => undefined,
                onDirectSourceChange: isNowDirect => {
                    isDirect = isNowDirect;
                },
            });
            stops.push(() => watcher.stop());
            watcher.start();
        })
    ));
    stops.forEach(stop => stop());
    return versions;
};

// Guards against entry hosts that serve old tables for good, because they confirm them to each other as relays.
describe("entry hosts that are each other's relays", () => {
    const cases: [name: string, relays: number[]][] = [
        ["two", [1, 0]],
        ["three in a circle", [1, 2, 0]],
        ["one that is its own relay", [0]],
    ];
    for (const [name, relays] of cases) {
        it(`read newer tables from a state host, ${name}`, async () => {
            expect(await play(relays)).to.deep.equal(relays.map(() => newVersion));
        });
    }
});
