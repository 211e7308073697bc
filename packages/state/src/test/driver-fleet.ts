import { createRandom, drawIncarnation, StateRequestKind, StateRole } from "@cassiapick/core";
import type { PeerMessage, StateReplyKind } from "@cassiapick/core";
import { createEventLog, LogFormat } from "@cassiapick/operations";
import { openDataFolder } from "../lib/data-folder.js";
import type { DataFolder } from "../lib/data-folder.js";
import { createStateDriver } from "../lib/state-driver.js";
import type { StateDriver } from "../lib/state-driver.js";
import { createMemoryDisk } from "./memory-disk.js";
import type { MemoryDisk } from "./memory-disk.js";

const pollMs = 10;

export const until = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
};

/** Options of {@link createDriverFleet}. */
export interface DriverFleetOptions {
    seed: number;
    /** What a message of `from` becomes on the wire; a copy by default. */
    transfer?: (message: PeerMessage, from: string) => PeerMessage;
    /** How long each disk takes to replace a file, in milliseconds. */
    replaceMs?: number;
    onStepped?: (hostId: string) => void;
    write?: (line: string) => void;
}

/** Drivers of state hosts on disks in memory. */
export interface DriverFleet {
    drivers: Map<string, StateDriver>;
    disks: Map<string, MemoryDisk>;
    start: (hostId: string, hostIds: readonly string[]) => Promise<void>;
    leaderId: () => string | undefined;
    votersOfLeader: () => string[];
    publish: (hostId: string, number: number) => Promise<StateReplyKind>;
    stop: () => Promise<void>;
}

const timing = { heartbeatMs: 20, electionTimeoutMs: 120, requestTimeoutMs: 2000 };
const replacement = { minVoters: 3, absenceTimeoutMs: 300 };

export const createDriverFleet = (options: DriverFleetOptions): DriverFleet => {
    const drivers = new Map<string, StateDriver>();
    const disks = new Map<string, MemoryDisk>();
    const random = createRandom(options.seed);
    const transfer = options.transfer ?? (message => structuredClone(message));

    const start = async (hostId: string, hostIds: readonly string[]): Promise<void> => {
        const disk = createMemoryDisk(options.replaceMs);
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
                log: createEventLog({
                    program: "test",
                    hostId,
                    format: LogFormat.Json,
                    write: options.write ?? (() => undefined),
                }),
                tickIntervalMs: 5,
                send: (to, message) => {
                    const received = transfer(message, hostId);
                    setImmediate(() => drivers.get(to)?.receive(hostId, received));
                },
                onStepped: () => options.onStepped?.(hostId),
                onStorageFailed: err => options.write?.(`storageFailed ${err.message}`),
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

    return {
        drivers,
        disks,
        start,
        leaderId,
        votersOfLeader: () => drivers.get(leaderId() ?? "")?.voters().sort() ?? [],
        publish: async (hostId, number) => {
            const published = { number, document: `document ${number}` };
            return (await drivers.get(hostId)!.handleRequest({ kind: StateRequestKind.Publish, published })).kind;
        },
        stop: async () => {
            await Promise.all([...drivers.values()].map(driver => driver.stop()));
            drivers.clear();
            disks.clear();
        },
    };
};
