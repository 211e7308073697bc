/** Measures how long state hosts take to serve after a restart with many changes in the log, with and without snapshots. */
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
const repetitions = 3;
/** Snapshot interval, in log entries, that no run reaches, so that no snapshot is taken. */
const unreachedSnapshotInterval = 1_000_000;
/** Log entries after which a host takes a snapshot, in the runs with snapshots. */
const entriesPerSnapshot = 256;
const msPerSecond = 1000;
/** Required by `openDataFolder`, which uses it only for an empty folder; the measured folders have contents. */
const initialFolderState = { incarnation: 2, founding: false, term: 0 };

/** The result for one number of changes, with or without snapshots. */
interface RestartRow {
    changes: number;
    snapshots: boolean;
    /** Rate of accepted changes when each is sent only after the previous one was accepted. */
    changesPerSecond: number;
    /** Size of the log of one host after the last restart. */
    logBytes: number;
    /** Median time to open, read and close one data folder, in milliseconds. */
    openMs: number;
    /** Median time from the start of all processes until a read returns the latest version, in milliseconds. */
    serveMs: number;
}

const median = (values: number[]): number => [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;

const elapsedMsOf = async (run: () => Promise<unknown>): Promise<number> => {
    const start = performance.now();
    await run();
    return performance.now() - start;
};

const applyChanges = async (hosts: StateProcesses, count: number): Promise<void> => {
    let expectedVersion: Version = noVersion;
    for (let index = 0; index < count; index += 1) {
        const reply = await hosts.applyChange(`change-${index}`, expectedVersion);
        if (reply.kind !== StateReplyKind.Applied) {
            throw new Error(
                `Change ${index} was answered with '${reply.kind}'. Make sure that nothing else applies changes during the measurement.`,
            );
        }
        expectedVersion = reply.version;
    }
};

const killAll = async (hosts: StateProcesses): Promise<void> => {
    for (const hostId of hosts.hostIds) {
        hosts.signal(hostId, "SIGKILL");
        await hosts.waitForExit(hostId);
    }
};

const openAndCloseFolder = async (folder: string): Promise<void> => {
    const result = await openDataFolder(await openDisk(folder), initialFolderState);
    if (!result.ok) {
        throw new Error(result.err.message);
    }
    await result.folder.close();
};

const measureRestartMs = (hosts: StateProcesses, flags: readonly string[], changes: number): Promise<number> =>
    elapsedMsOf(async () => {
        await Promise.all(hosts.hostIds.map(hostId => hosts.start(hostId, flags)));
        await waitFor("a read of the latest version", async () => {
            const reply = await hosts.sendRequest(hosts.hostIds[0]!, { kind: StateRequestKind.Read });
            return reply?.kind === StateReplyKind.Tables && reply.versioned.version.index === changes ? true : undefined;
        });
    });

const measureRow = async (changes: number, snapshots: boolean): Promise<RestartRow> => {
    const flags = ["--snapshot-every", String(snapshots ? entriesPerSnapshot : unreachedSnapshotInterval)];
    const hosts = await createStateProcesses(hostCount);
    try {
        await Promise.all(hosts.hostIds.map(hostId => hosts.start(hostId, [...flags, "--bootstrap", "true"])));
        await hosts.waitForLeader();
        const applyMs = await elapsedMsOf(() => applyChanges(hosts, changes));
        const openTimesMs: number[] = [];
        const serveTimesMs: number[] = [];
        for (let repetition = 0; repetition < repetitions; repetition += 1) {
            await killAll(hosts);
            openTimesMs.push(await elapsedMsOf(() => openAndCloseFolder(hosts.dataDir(hosts.hostIds[0]!))));
            serveTimesMs.push(await measureRestartMs(hosts, flags, changes));
        }
        const log = await stat(join(hosts.dataDir(hosts.hostIds[0]!), "log"));
        return {
            changes,
            snapshots,
            changesPerSecond: changes * msPerSecond / applyMs,
            logBytes: log.size,
            openMs: median(openTimesMs),
            serveMs: median(serveTimesMs),
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
            const row = await measureRow(changes, snapshots);
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
