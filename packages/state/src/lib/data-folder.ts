/** The data folder of a state host: votes, the log and the snapshot. */
import { NodeActionKind } from "@cassiapick/core";
import type { HardState, LogEntry, Snapshot, StoredState, WriteAction } from "@cassiapick/core";
import type { Disk } from "./disk.js";
import { encodeRecord, RecordsEnd, scanRecords } from "./record-codec.js";

const hardStateFile = "hard-state";
const logFile = "log";
const snapshotFile = "snapshot";
const temporaryOf = (name: string): string => `${name}.new`;

/** Why a data folder can't be used. */
export type DataFolderErr =
    | { kind: "corrupt"; file: string; message: string; }
    | { kind: "file-lost"; file: string; message: string; };

/** The open data folder of one state host. */
export interface DataFolder {
    stored: StoredState;
    /** Whether the folder held nothing: at the first start, or because the disk was lost. */
    wasEmpty: boolean;
    /** Makes the writes durable in their order. Rejects when the disk fails; the process must then stop. */
    write(actions: readonly WriteAction[]): Promise<void>;
    /** Writes and syncs everything that `stored` holds anew; what an earlier sync refused is then not relied on. */
    rewrite(): Promise<void>;
    close(): Promise<void>;
}

export type DataFolderResult = { ok: true; folder: DataFolder; } | { ok: false; err: DataFolderErr; };

/** The first record of a log: the position that its entries follow. */
interface LogHeader {
    baseIndex: number;
    baseTerm: number;
    /** Whether a record of entries was written together with the header; it can't be torn, so its loss is damage. */
    hasEntries: boolean;
}

type LogWrite = Extract<WriteAction, { kind: NodeActionKind.Append | NodeActionKind.Truncate; }>;

const remedy = "Move the folder away, keep it for inspection, and start the host with an empty one and without --bootstrap: "
    + "it recovers from the other state hosts.";

const corrupt = (file: string, detail: string): DataFolderResult => ({
    ok: false,
    err: { kind: "corrupt", file, message: `The file '${file}' of the data folder ${detail}. ${remedy}` },
});

const lost = (file: string): DataFolderResult => ({
    ok: false,
    err: { kind: "file-lost", file, message: `The file '${file}' of the data folder is lost. ${remedy}` },
});

const isContiguous = (entries: readonly LogEntry[], baseIndex: number): boolean =>
    entries.every((entry, position) => entry.index === baseIndex + position + 1);

/** Keeps the entries that go on from the snapshot; a crash can leave a log that is older than the snapshot. */
const entriesAfter = (snapshot: Snapshot | undefined, header: LogHeader, entries: LogEntry[]): LogEntry[] => {
    if (snapshot === undefined || snapshot.index === header.baseIndex) {
        return entries;
    }
    const matches = entries.some(entry => entry.index === snapshot.index && entry.term === snapshot.term);
    return matches ? entries.filter(entry => entry.index > snapshot.index) : [];
};

interface ReadLog {
    header: LogHeader;
    entries: LogEntry[];
    soundBytes: number;
    end: RecordsEnd;
    /** Whether nothing was ever written after the header. */
    isNew: boolean;
    /** Whether a record is missing that was never at risk of being torn. */
    isCut: boolean;
}

const readLog = (content: Uint8Array): ReadLog | undefined => {
    const scan = scanRecords(content);
    if (scan.values.length === 0) {
        return undefined;
    }
    const [header, ...batches] = scan.values as [LogHeader, ...LogWrite[][]];
    const entries: LogEntry[] = [];
    for (const write of batches.flat()) {
        // A truncation goes to the end of the array, so that a long log is read in linear time.
        if (write.kind === NodeActionKind.Append) {
            entries.push(...write.entries);
        }
        else {
            entries.length = Math.max(Math.min(entries.length, write.fromIndex - header.baseIndex - 1), 0);
        }
    }
    const isCut = header.hasEntries && batches.length === 0;
    return { header, entries, soundBytes: scan.soundBytes, end: scan.end, isNew: batches.length === 0, isCut };
};

/** The single value of a file that is always replaced as a whole. */
const readWhole = (content: Uint8Array): unknown => {
    const scan = scanRecords(content);
    return scan.end === RecordsEnd.Clean && scan.values.length === 1 ? scan.values[0] : undefined;
};

/**
 * Opens the data folder of a state host.
 *
 * `firstHardState` is what an empty folder begins with. A torn tail of the log is cut off; anything else that is damaged or
 * missing is refused, because the host may have acknowledged what is gone.
 */
export const openDataFolder = async (disk: Disk, firstHardState: HardState): Promise<DataFolderResult> => {
    let logBytes = 0;

    const replace = async (name: string, content: Buffer): Promise<void> => {
        const temporary = temporaryOf(name);
        await disk.truncate(temporary, 0);
        await disk.write(temporary, content, 0);
        await disk.sync(temporary);
        await disk.rename(temporary, name);
        await disk.syncFolder();
    };

    const replaceLog = async (baseIndex: number, baseTerm: number, entries: readonly LogEntry[]): Promise<void> => {
        const header: LogHeader = { baseIndex, baseTerm, hasEntries: entries.length > 0 };
        const batch: LogWrite[] = entries.length === 0 ? [] : [{ kind: NodeActionKind.Append, entries: [...entries] }];
        const content = Buffer.concat([encodeRecord(header), ...(batch.length === 0 ? [] : [encodeRecord(batch)])]);
        await replace(logFile, content);
        logBytes = content.length;
    };

    const appendToLog = async (writes: readonly LogWrite[]): Promise<void> => {
        // One record per sync: a torn record then never has a sound one of the same sync behind it.
        const record = encodeRecord(writes);
        await disk.write(logFile, record, logBytes);
        await disk.sync(logFile);
        logBytes += record.length;
    };

    const saveSnapshot = async (snapshot: Snapshot, entries: readonly LogEntry[]): Promise<void> => {
        await replace(snapshotFile, encodeRecord(snapshot));
        await replaceLog(snapshot.index, snapshot.term, entries);
    };

    const write = async (actions: readonly WriteAction[]): Promise<void> => {
        let logWrites: LogWrite[] = [];
        const flush = async (): Promise<void> => {
            if (logWrites.length > 0) {
                await appendToLog(logWrites);
                logWrites = [];
            }
        };
        for (const action of actions) {
            if (action.kind === NodeActionKind.Append || action.kind === NodeActionKind.Truncate) {
                logWrites.push(action);
                continue;
            }
            await flush();
            if (action.kind === NodeActionKind.SaveHardState) {
                await replace(hardStateFile, encodeRecord(action.hardState));
            }
            else {
                await saveSnapshot(action.snapshot, action.entries);
            }
        }
        await flush();
    };

    const rewrite = async ({ hardState, snapshot, entries }: StoredState): Promise<void> => {
        if (snapshot !== undefined) {
            await replace(snapshotFile, encodeRecord(snapshot));
        }
        await replaceLog(snapshot?.index ?? 0, snapshot?.term ?? 0, entries);
        await replace(hardStateFile, encodeRecord(hardState));
    };

    const opened = (stored: StoredState, wasEmpty: boolean): DataFolderResult => ({
        ok: true,
        folder: { stored, wasEmpty, write, rewrite: () => rewrite(stored), close: () => disk.close() },
    });

    const create = async (): Promise<DataFolderResult> => {
        await replaceLog(0, 0, []);
        // Last of all: a folder without it counts as empty.
        await replace(hardStateFile, encodeRecord(firstHardState));
        return opened({ hardState: firstHardState, entries: [] }, true);
    };

    const hardStateContent = await disk.read(hardStateFile);
    const logContent = await disk.read(logFile);
    const snapshotContent = await disk.read(snapshotFile);
    const log = logContent === undefined ? undefined : readLog(logContent);
    if (hardStateContent === undefined) {
        const isEmpty = snapshotContent === undefined && (log === undefined || log.isNew);
        return isEmpty ? create() : lost(hardStateFile);
    }
    if (logContent === undefined) {
        return lost(logFile);
    }
    const hardState = readWhole(hardStateContent) as HardState | undefined;
    const snapshot = snapshotContent === undefined ? undefined : readWhole(snapshotContent) as Snapshot | undefined;
    if (hardState === undefined) {
        return corrupt(hardStateFile, "is damaged");
    }
    if (snapshotContent !== undefined && snapshot === undefined) {
        return corrupt(snapshotFile, "is damaged");
    }
    if (log === undefined || log.end === RecordsEnd.Corrupt || log.isCut) {
        return corrupt(logFile, `is damaged after byte ${log?.soundBytes ?? 0}`);
    }
    if ((snapshot?.index ?? 0) < log.header.baseIndex) {
        return lost(snapshotFile);
    }
    if (!isContiguous(log.entries, log.header.baseIndex)) {
        return corrupt(logFile, "has a gap");
    }
    logBytes = log.soundBytes;
    if (log.end === RecordsEnd.Torn) {
        await disk.truncate(logFile, log.soundBytes);
        await disk.sync(logFile);
    }
    const entries = entriesAfter(snapshot, log.header, log.entries);
    if (snapshot !== undefined && snapshot.index !== log.header.baseIndex) {
        await replaceLog(snapshot.index, snapshot.term, entries);
    }
    return opened({ hardState, snapshot, entries }, false);
};
