/** How long state hosts take to serve again after many changes, with and without snapshots. */
import { noVersion, StateReplyKind, StateRequestKind } from "@cassiapick/core";
import type { Version } from "@cassiapick/core";
import { openDataFolder, openDisk } from "@cassiapick/state";
import { createStateProcesses, waitFor } from "@cassiapick/state/testing";
import type { StateProcesses } from "@cassiapick/state/testing";
import { stat } from "node:fs/promises";
import { join } from "node:path";
import type { Measurement } from "./measurement.js";

const hostCount = 3;
const changeCounts = [100, 400, 800];
const repeats = 3;
const never = 1_000_000;
const withSnapshots = 256;
const msPerSecond = 1000;
/** The state of an empty folder; the measured folders are never empty. */
const unused = { incarnation: 2, founding: false, term: 0 };

interface RestartRow {
    changes: number;
    snapshots: boolean;
    /** Accepted changes per second, one after the other from one operator. */
    changesPerSecond: number;
    logBytes: number;
    /** Median time to read one data folder, in milliseconds. */
    openMs: number;
    /** Median time from the start of all processes to the first answered read, in milliseconds. */
    serveMs: number;
}

const median = (values: number[]): number => [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;

const timed = async (run: () => Promise<unknown>): Promise<number> => {
    const start = performance.now();
    await run();
    return performance.now() - start;
};

const applyMany = async (hosts: StateProcesses, count: number): Promise<void> => {
    let expected: Version = noVersion;
    for (let index = 0; index < count; index += 1) {
        const reply = await hosts.applyChange(`change-${index}`, expected);
        if (reply.kind !== StateReplyKind.Applied) {
            throw new Error(`The change ${index} was answered '${reply.kind}'. Nothing else may apply changes meanwhile.`);
        }
        expected = reply.version;
    }
};

const kill = async (hosts: StateProcesses): Promise<void> => {
    for (const hostId of hosts.hostIds) {
        hosts.signal(hostId, "SIGKILL");
        await hosts.waitForExit(hostId);
    }
};

const openFolder = async (folder: string): Promise<void> => {
    const result = await openDataFolder(await openDisk(folder), unused);
    if (!result.ok) {
        throw new Error(result.err.message);
    }
    await result.folder.close();
};

const restart = (hosts: StateProcesses, flags: readonly string[], changes: number): Promise<number> =>
    timed(async () => {
        await Promise.all(hosts.hostIds.map(hostId => hosts.start(hostId, flags)));
        await waitFor("a read of the latest version", async () => {
            const reply = await hosts.sendRequest(hosts.hostIds[0]!, { kind: StateRequestKind.Read });
            return reply?.kind === StateReplyKind.Tables && reply.versioned.version.index === changes ? true : undefined;
        });
    });

const measureOne = async (changes: number, snapshots: boolean): Promise<RestartRow> => {
    const flags = ["--snapshot-every", String(snapshots ? withSnapshots : never)];
    const hosts = await createStateProcesses(hostCount);
    try {
        await Promise.all(hosts.hostIds.map(hostId => hosts.start(hostId, [...flags, "--bootstrap", "true"])));
        await hosts.waitForLeader();
        const applyMs = await timed(() => applyMany(hosts, changes));
        const opens: number[] = [];
        const serves: number[] = [];
        for (let repeat = 0; repeat < repeats; repeat += 1) {
            await kill(hosts);
            opens.push(await timed(() => openFolder(hosts.dataDir(hosts.hostIds[0]!))));
            serves.push(await restart(hosts, flags, changes));
        }
        const log = await stat(join(hosts.dataDir(hosts.hostIds[0]!), "log"));
        return {
            changes,
            snapshots,
            changesPerSecond: changes * msPerSecond / applyMs,
            logBytes: log.size,
            openMs: median(opens),
            serveMs: median(serves),
        };
    }
    finally {
        await hosts.close();
    }
};

const render = (row: RestartRow): string =>
    `${row.changes} changes, ${row.snapshots ? "with" : "without"} snapshots: ${row.changesPerSecond.toFixed(0)} changes/s, `
    + `log ${row.logBytes} bytes, folder read in ${row.openMs.toFixed(1)} ms, served after ${row.serveMs.toFixed(0)} ms`;

/** Runs and prints the measurement. */
export const measureRestart: Measurement = async options => {
    const rows: RestartRow[] = [];
    for (const changes of changeCounts) {
        for (const snapshots of [true, false]) {
            const row = await measureOne(changes, snapshots);
            rows.push(row);
            if (!options.json) {
                console.log(render(row));
            }
        }
    }
    if (options.json) {
        console.log(JSON.stringify(rows));
    }
};
