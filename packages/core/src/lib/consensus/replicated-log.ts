/** In-memory log of one state host: the position of the latest snapshot and the entries after it. */
import { weightOf } from "../value-weight.js";
import { EntryKind } from "./log-entry.js";
import type { LogEntry, Snapshot, Voters } from "./log-entry.js";

/** The log of one state host. */
export interface ReplicatedLog {
    /** The last index that the latest snapshot covers; 0 without a snapshot. */
    baseIndex(): number;
    lastIndex(): number;
    lastTerm(): number;
    /** The term at `index`; `undefined` outside of the log. */
    termAt(index: number): number | undefined;
    entryAt(index: number): LogEntry | undefined;
    /** Returns up to `limit` entries from `fromIndex` on. */
    slice(fromIndex: number, limit?: number): LogEntry[];
    append(entries: readonly LogEntry[]): void;
    /** Removes the entries from `fromIndex` on. */
    truncate(fromIndex: number): void;
    /** Removes the entries up to and including `index`, which a snapshot covers. */
    compact(index: number): void;
    /** Removes all entries and continues after a snapshot. */
    reset(snapshot: Snapshot): void;
    /** About the bytes that the entries take. */
    weight(): number;
    /** The voters as of `index`, by default as of the last entry. */
    voters(index?: number): Voters;
    /** The index of the latest entry that changed the voters; 0 if there is none after the snapshot. */
    lastVoterChangeIndex(): number;
}

const applyVoterChange = (voters: Voters, entry: LogEntry): Voters => {
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

/** Creates the log from stored entries. `initialVoters` apply until a snapshot or an entry changes them. */
export const createReplicatedLog = (
    initialVoters: Voters,
    snapshot: Snapshot | undefined,
    stored: readonly LogEntry[],
): ReplicatedLog => {
    let baseIndex = snapshot?.index ?? 0;
    let baseTerm = snapshot?.term ?? 0;
    let baseVoters = snapshot?.voters ?? initialVoters;
    let entries = [...stored];
    let weights = entries.map(({ body }) => weightOf(body));
    let weight = 0;

    /** Keeps the weights of the entries from position `start` to `end`. */
    const keepWeights = (start: number, end = weights.length): void => {
        weights = weights.slice(start, end);
        weight = weights.reduce((sum, bytes) => sum + bytes, 0);
    };
    keepWeights(0);

    const lastIndex = (): number => baseIndex + entries.length;
    const entryAt = (index: number): LogEntry | undefined => entries[index - baseIndex - 1];
    const termAt = (index: number): number | undefined => index === baseIndex ? baseTerm : entryAt(index)?.term;
    const voters = (index = lastIndex()): Voters =>
        entries.slice(0, Math.max(index - baseIndex, 0)).reduce(applyVoterChange, baseVoters);

    // The voters after the last entry, cached because every step needs them.
    let latestVoters = voters();
    const refreshLatestVoters = (): void => {
        latestVoters = voters();
    };

    const compact = (index: number): void => {
        const term = termAt(index);
        if (term === undefined || index <= baseIndex) {
            return;
        }
        baseVoters = voters(index);
        entries = entries.slice(index - baseIndex);
        keepWeights(index - baseIndex);
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
            for (const { body } of added) {
                const bytes = weightOf(body);
                weights.push(bytes);
                weight += bytes;
            }
            if (added.some(changesVoters)) {
                refreshLatestVoters();
            }
        },
        truncate: fromIndex => {
            entries = entries.slice(0, fromIndex - baseIndex - 1);
            keepWeights(0, fromIndex - baseIndex - 1);
            refreshLatestVoters();
        },
        compact,
        weight: () => weight,
        reset: installed => {
            baseIndex = installed.index;
            baseTerm = installed.term;
            baseVoters = installed.voters;
            entries = [];
            keepWeights(0, 0);
            refreshLatestVoters();
        },
        voters: index => index === undefined ? latestVoters : voters(index),
        lastVoterChangeIndex: () => entries.findLast(changesVoters)?.index ?? 0,
    };
};
