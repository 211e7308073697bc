import { createRandom, drawIncarnation, StateReplyKind, StateRequestKind, StateRole } from "@cassiapick/core";
import { createEventLog, LogFormat } from "@cassiapick/operations";
import { expect } from "chai";
import { openDataFolder } from "../lib/data-folder.js";
import type { DataFolder } from "../lib/data-folder.js";
import type { Disk } from "../lib/disk.js";
import { createStateDriver } from "../lib/state-driver.js";
import type { StateDriver } from "../lib/state-driver.js";

/** A disk in memory that may be full. */
interface MemoryDisk extends Disk {
    setFull(isFull: boolean): void;
}

const createMemoryDisk = (): MemoryDisk => {
    const files = new Map<string, Buffer>();
    let isFull = false;
    const done = Promise.resolve();
    return {
        setFull: full => {
            isFull = full;
        },
        read: name => Promise.resolve(files.get(name)),
        write: (name, bytes, position) => {
            if (isFull) {
                return Promise.reject(new Error("ENOSPC: no space left on device"));
            }
            const file = files.get(name) ?? Buffer.alloc(0);
            const padding = Buffer.alloc(Math.max(0, position - file.length));
            files.set(name, Buffer.concat([file.subarray(0, position), padding, bytes, file.subarray(position + bytes.length)]));
            return done;
        },
        truncate: (name, length) => {
            files.set(name, (files.get(name) ?? Buffer.alloc(0)).subarray(0, length));
            return done;
        },
        sync: () => done,
        rename: (from, to) => {
            files.set(to, files.get(from)!);
            files.delete(from);
            return done;
        },
        syncFolder: () => done,
        close: () => done,
    };
};

const seed = 48;
const timing = { heartbeatMs: 20, electionTimeoutMs: 120, requestTimeoutMs: 2000 };
const replacement = { minVoters: 3, absenceTimeoutMs: 300 };
const pollMs = 10;

const until = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
};

// Guards against state hosts that refuse changes for good after their disks were full for a while.
describe("state hosts whose disks are full", () => {
    const drivers = new Map<string, StateDriver>();
    const disks = new Map<string, MemoryDisk>();
    const random = createRandom(seed);
    afterEach(async () => {
        await Promise.all([...drivers.values()].map(driver => driver.stop()));
        drivers.clear();
        disks.clear();
    });

    const start = async (hostId: string, hostIds: readonly string[]): Promise<void> => {
        const disk = createMemoryDisk();
        disks.set(hostId, disk);
        const founding = hostIds.includes(hostId);
        const incarnation = founding ? 1 : drawIncarnation(random);
        const openFolder = async (): Promise<DataFolder> => {
            const opened = await openDataFolder(disk, { incarnation, founding, term: 0 });
            if (!opened.ok) {
                throw new Error(opened.err.message);
            }
            return opened.folder;
        };
        drivers.set(
            hostId,
            createStateDriver({
                nodeCfg: {
                    hostId,
                    hostIds,
                    random: createRandom(random.below(2 ** 30)),
                    wallClock: () => 0,
                    timing,
                    replacement,
                },
                folder: await openFolder(),
                clock: () => performance.now(),
                log: createEventLog({ program: "test", hostId, format: LogFormat.Json, write: () => undefined }),
                tickIntervalMs: 5,
                send: (to, message) => setImmediate(() => drivers.get(to)?.receive(hostId, structuredClone(message))),
                onStorageFailed: () => undefined,
                reopenFolder: async () => {
                    const folder = await openFolder();
                    await folder.rewrite();
                    return folder;
                },
            }),
        );
    };

    const leaderId = (): string | undefined =>
        [...drivers].find(([, driver]) => driver.status().role === StateRole.Leader && driver.isStorageHealthy())?.[0];
    const votersOfLeader = (): string[] => drivers.get(leaderId() ?? "")?.voters().sort() ?? [];

    const publish = async (hostId: string, number: number): Promise<StateReplyKind> => {
        const published = { number, document: `document ${number}` };
        return (await drivers.get(hostId)!.handleRequest({ kind: StateRequestKind.Publish, published })).kind;
    };

    const hostIds = ["a", "b", "c", "d", "e"];

    it("all take changes again after each disk was full until its host was no voter", async () => {
        for (const hostId of hostIds) {
            await start(hostId, ["a", "b", "c"]);
        }
        await until(() => votersOfLeader().length === hostIds.length);
        for (const hostId of hostIds) {
            disks.get(hostId)!.setFull(true);
            // The write fails where the host is asked, or where the leader sends the change to.
            void publish(hostId, 1 + hostIds.indexOf(hostId));
            await until(() => leaderId() !== undefined && !votersOfLeader().includes(hostId));
            disks.get(hostId)!.setFull(false);
            await until(() => votersOfLeader().length === hostIds.length);
        }
        for (const hostId of hostIds) {
            expect(await publish(hostId, 10), hostId).to.equal(StateReplyKind.Recorded);
        }
    });

    it("keep the contacts that they were told of", async () => {
        for (const hostId of ["a", "b", "c"]) {
            await start(hostId, ["a", "b", "c"]);
        }
        await until(() => votersOfLeader().length === 3);
        await start("f", ["stale seed"]);
        disks.get("f")!.setFull(true);
        drivers.get("f")!.addContacts([leaderId()!]);
        await until(() => !drivers.get("f")!.isStorageHealthy());
        disks.get("f")!.setFull(false);
        await until(() => votersOfLeader().includes("f"));
        expect(await publish("f", 1)).to.equal(StateReplyKind.Recorded);
    });
});
