/** The log of one state host in memory: a snapshot's position and the entries after it. */
import { EntryKind } from "./log-entry.js";
import type { LogEntry, Snapshot, Voters } from "./log-entry.js";

/** The log of one state host. */
export interface ReplicatedLog {
    /** The position that the latest snapshot covers; 0 without one. */
    baseIndex(): number;
    lastIndex(): number;
    lastTerm(): number;
    /** The term at `index`; `undefined` outside of what the log knows. */
    termAt(index: number): number | undefined;
    entryAt(index: number): LogEntry | undefined;
    /** Up to `limit` entries from `fromIndex` on. */
    slice(fromIndex: number, limit?: number): LogEntry[];
    append(entries: readonly LogEntry[]): void;
    /** Drops the entries from `fromIndex` on. */
    truncate(fromIndex: number): void;
    /** Drops the entries up to and including `index`, which a snapshot covers. */
    compact(index: number): void;
    /** Forgets every entry and starts after a snapshot. */
    reset(snapshot: Snapshot): void;
    /** The voters that the log names up to `index`, by default all of it. */
    voters(index?: number): Voters;
    /** The position of the latest entry that changed the voters; 0 when there is none after the snapshot. */
    votersIndex(): number;
}

const votersAfter = (voters: Voters, entry: LogEntry): Voters => {
    if (entry.body.kind === EntryKind.AddVoter) {
        return { ...voters, [entry.body.hostId]: entry.body.incarnation };
    }
    if (entry.body.kind === EntryKind.RemoveVoter) {
        const removed = entry.body.hostId;
        return Object.fromEntries(Object.entries(voters).filter(([hostId]) => hostId !== removed));
    }
    return voters;
};

const changesVoters = (entry: LogEntry): boolean =>
    entry.body.kind === EntryKind.AddVoter || entry.body.kind === EntryKind.RemoveVoter;

/** Creates the log that a disk held. `firstVoters` vote until an entry or a snapshot says otherwise. */
export const createReplicatedLog = (
    firstVoters: Voters,
    snapshot: Snapshot | undefined,
    stored: readonly LogEntry[],
): ReplicatedLog => {
    let baseIndex = snapshot?.index ?? 0;
    let baseTerm = snapshot?.term ?? 0;
    let baseVoters = snapshot?.voters ?? firstVoters;
    let entries = [...stored];

    const lastIndex = (): number => baseIndex + entries.length;
    const entryAt = (index: number): LogEntry | undefined => entries[index - baseIndex - 1];
    const termAt = (index: number): number | undefined => index === baseIndex ? baseTerm : entryAt(index)?.term;
    const voters = (index = lastIndex()): Voters =>
        entries.slice(0, Math.max(index - baseIndex, 0)).reduce(votersAfter, baseVoters);

    // The voters of the whole log are asked for at every step, so they are kept.
    let latestVoters = voters();
    const refresh = (): void => {
        latestVoters = voters();
    };

    const compact = (index: number): void => {
        const term = termAt(index);
        if (term === undefined || index <= baseIndex) {
            return;
        }
        baseVoters = voters(index);
        entries = entries.slice(index - baseIndex);
        baseIndex = index;
        baseTerm = term;
    };

    return {
        baseIndex: () => baseIndex,
        lastIndex,
        lastTerm: () => entries.at(-1)?.term ?? baseTerm,
        termAt,
        entryAt,
        slice: (fromIndex, limit = Infinity) => {
            const start = fromIndex - baseIndex - 1;
            return entries.slice(start, start + limit);
        },
        append: added => {
            entries.push(...added);
            if (added.some(changesVoters)) {
                refresh();
            }
        },
        truncate: fromIndex => {
            entries = entries.slice(0, fromIndex - baseIndex - 1);
            refresh();
        },
        compact,
        reset: newer => {
            baseIndex = newer.index;
            baseTerm = newer.term;
            baseVoters = newer.voters;
            entries = [];
            refresh();
        },
        voters: index => index === undefined ? latestVoters : voters(index),
        votersIndex: () => entries.findLast(changesVoters)?.index ?? 0,
    };
};
