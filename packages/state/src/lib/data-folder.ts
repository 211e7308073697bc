/** The data folder of a state host: the hard state (term and vote), the log and the snapshot. */
import { NodeActionKind } from "@cassiapick/core";
import type { HardState, LogEntry, Snapshot, StoredState, WriteAction } from "@cassiapick/core";
import type { Disk } from "./disk.js";
import { encodeRecord, RecordsEnd, scanRecords } from "./record-codec.js";

const hardStateFile = "hard-state";
const logFile = "log";
const snapshotFile = "snapshot";
const temporaryNameOf = (name: string): string => `${name}.new`;

/** The reason why a data folder can't be used. */
export type DataFolderErr =
    | { kind: "corrupt"; file: string; message: string; }
    | { kind: "file-lost"; file: string; message: string; };

/** The open data folder of one state host. */
export interface DataFolder {
    stored: StoredState;
    /** Whether the folder was empty when it was opened: at the first start, or after the loss of the disk. */
    wasEmpty: boolean;
    /** Makes the writes durable, in order. Rejects when the disk fails; the caller must then exit or reopen the folder. */
    write(actions: readonly WriteAction[]): Promise<void>;
    /** Writes and syncs the whole of `stored` again, so that no state depends on data whose sync failed earlier. */
    rewrite(): Promise<void>;
    close(): Promise<void>;
}

export type DataFolderResult = { ok: true; folder: DataFolder; } | { ok: false; err: DataFolderErr; };

/** The first record of a log: the index and the term of the entry before its first entry. */
interface LogHeader {
    baseIndex: number;
    baseTerm: number;
    /**
     * Whether a record of entries was written together with the header. The file is replaced atomically, so this record can't
     * be torn: a log without it is corrupt.
     */
    hasEntries: boolean;
}

type LogWrite = Extract<WriteAction, { kind: NodeActionKind.Append | NodeActionKind.Truncate; }>;

const remedy = "Move the folder away, keep it for inspection, and start the host with an empty folder and without --bootstrap: "
    + "it recovers from the other state hosts.";

const corruptFileResult = (file: string, detail: string): DataFolderResult => ({
    ok: false,
    err: { kind: "corrupt", file, message: `The file '${file}' of the data folder ${detail}. ${remedy}` },
});

const lostFileResult = (file: string): DataFolderResult => ({
    ok: false,
    err: { kind: "file-lost", file, message: `The file '${file}' of the data folder is lost. ${remedy}` },
});

const isContiguous = (entries: readonly LogEntry[], baseIndex: number): boolean =>
    entries.every((entry, position) => entry.index === baseIndex + position + 1);

/**
 * Returns the entries that follow the snapshot. A crash between the writes of the snapshot and of the log leaves a log that
 * starts before the snapshot.
 */
const entriesAfterSnapshot = (snapshot: Snapshot | undefined, header: LogHeader, entries: LogEntry[]): LogEntry[] => {
    if (snapshot === undefined || snapshot.index === header.baseIndex) {
        return entries;
    }
    const containsSnapshotEntry = entries.some(entry => entry.index === snapshot.index && entry.term === snapshot.term);
    return containsSnapshotEntry ? entries.filter(entry => entry.index > snapshot.index) : [];
};

interface ParsedLog {
    header: LogHeader;
    entries: LogEntry[];
    validBytes: number;
    end: RecordsEnd;
    /** Whether no record follows the header. */
    isHeaderOnly: boolean;
    /** Whether the record of entries that was written together with the header, and so can't be torn, is missing. */
    isMissingEntries: boolean;
}

const parseLog = (content: Uint8Array): ParsedLog | undefined => {
    const scan = scanRecords(content);
    if (scan.values.length === 0) {
        return undefined;
    }
    const [header, ...batches] = scan.values as [LogHeader, ...LogWrite[][]];
    const entries: LogEntry[] = [];
    for (const write of batches.flat()) {
        // Truncates in place instead of copying the entries, so that a long log is read in linear time.
        if (write.kind === NodeActionKind.Append) {
            entries.push(...write.entries);
        }
        else {
            entries.length = Math.max(Math.min(entries.length, write.fromIndex - header.baseIndex - 1), 0);
        }
    }
    const isMissingEntries = header.hasEntries && batches.length === 0;
    return { header, entries, validBytes: scan.validBytes, end: scan.end, isHeaderOnly: batches.length === 0, isMissingEntries };
};

/** Decodes a file that holds exactly one record; `undefined` when it is damaged. */
const readSingleRecord = (content: Uint8Array): unknown => {
    const scan = scanRecords(content);
    return scan.end === RecordsEnd.Clean && scan.values.length === 1 ? scan.values[0] : undefined;
};

/**
 * Opens the data folder of a state host.
 *
 * An empty folder is initialized with `initialHardState`. A torn record at the end of the log is removed. Any other damaged or
 * missing data is an error, because the host may have acknowledged the lost writes.
 */
export const openDataFolder = async (disk: Disk, initialHardState: HardState): Promise<DataFolderResult> => {
    let logBytes = 0;

    const replaceFile = async (name: string, content: Buffer): Promise<void> => {
        const temporaryName = temporaryNameOf(name);
        await disk.truncate(temporaryName, 0);
        await disk.write(temporaryName, content, 0);
        await disk.sync(temporaryName);
        await disk.rename(temporaryName, name);
        await disk.syncFolder();
    };

    const replaceLog = async (baseIndex: number, baseTerm: number, entries: readonly LogEntry[]): Promise<void> => {
        const header: LogHeader = { baseIndex, baseTerm, hasEntries: entries.length > 0 };
        const writes: LogWrite[] = entries.length === 0 ? [] : [{ kind: NodeActionKind.Append, entries: [...entries] }];
        const content = Buffer.concat([encodeRecord(header), ...(writes.length === 0 ? [] : [encodeRecord(writes)])]);
        await replaceFile(logFile, content);
        logBytes = content.length;
    };

    const appendToLog = async (writes: readonly LogWrite[]): Promise<void> => {
        // One record per sync, so that no valid record of the same sync can follow a torn one.
        const record = encodeRecord(writes);
        await disk.write(logFile, record, logBytes);
        await disk.sync(logFile);
        logBytes += record.length;
    };

    const saveSnapshot = async (snapshot: Snapshot, entries: readonly LogEntry[]): Promise<void> => {
        await replaceFile(snapshotFile, encodeRecord(snapshot));
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
                await replaceFile(hardStateFile, encodeRecord(action.hardState));
            }
            else {
                await saveSnapshot(action.snapshot, action.entries);
            }
        }
        await flush();
    };

    const rewrite = async ({ hardState, snapshot, entries }: StoredState): Promise<void> => {
        if (snapshot !== undefined) {
            await replaceFile(snapshotFile, encodeRecord(snapshot));
        }
        await replaceLog(snapshot?.index ?? 0, snapshot?.term ?? 0, entries);
        await replaceFile(hardStateFile, encodeRecord(hardState));
    };

    const openedResult = (stored: StoredState, wasEmpty: boolean): DataFolderResult => ({
        ok: true,
        folder: { stored, wasEmpty, write, rewrite: () => rewrite(stored), close: () => disk.close() },
    });

    const createFolder = async (): Promise<DataFolderResult> => {
        await replaceLog(0, 0, []);
        // Written last, because a folder without this file counts as empty.
        await replaceFile(hardStateFile, encodeRecord(initialHardState));
        return openedResult({ hardState: initialHardState, entries: [] }, true);
    };

    const hardStateContent = await disk.read(hardStateFile);
    const logContent = await disk.read(logFile);
    const snapshotContent = await disk.read(snapshotFile);
    const log = logContent === undefined ? undefined : parseLog(logContent);
    if (hardStateContent === undefined) {
        const isEmpty = snapshotContent === undefined && (log === undefined || log.isHeaderOnly);
        return isEmpty ? createFolder() : lostFileResult(hardStateFile);
    }
    if (logContent === undefined) {
        return lostFileResult(logFile);
    }
    const hardState = readSingleRecord(hardStateContent) as HardState | undefined;
    const snapshot = snapshotContent === undefined ? undefined : readSingleRecord(snapshotContent) as Snapshot | undefined;
    if (hardState === undefined) {
        return corruptFileResult(hardStateFile, "is damaged");
    }
    if (snapshotContent !== undefined && snapshot === undefined) {
        return corruptFileResult(snapshotFile, "is damaged");
    }
    if (log === undefined || log.end === RecordsEnd.Corrupt || log.isMissingEntries) {
        return corruptFileResult(logFile, `is damaged after byte ${log?.validBytes ?? 0}`);
    }
    if ((snapshot?.index ?? 0) < log.header.baseIndex) {
        return lostFileResult(snapshotFile);
    }
    if (!isContiguous(log.entries, log.header.baseIndex)) {
        return corruptFileResult(logFile, "has a gap");
    }
    logBytes = log.validBytes;
    if (log.end === RecordsEnd.Torn) {
        await disk.truncate(logFile, log.validBytes);
        await disk.sync(logFile);
    }
    const entries = entriesAfterSnapshot(snapshot, log.header, log.entries);
    if (snapshot !== undefined && snapshot.index !== log.header.baseIndex) {
        await replaceLog(snapshot.index, snapshot.term, entries);
    }
    return openedResult({ hardState, snapshot, entries }, false);
};
