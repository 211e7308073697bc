/** Compares what callers and hosts were told with a single copy of the tables that takes one change at a time. */
import { formatVersion, StateReplyKind } from "@cassiapick/core";
import type { HistoryEntry, StateReply, Version, VersionedTables } from "@cassiapick/core";

/** Collects what was told, and the promises that it breaks. */
export interface ConfigChecker {
    /** A change got its answer. */
    decided(changeId: string, reply: StateReply): void;
    /** The latest version that anyone was told of as accepted or read, by index. */
    latestKnown(): number;
    /** A read that began when `latestAtStart` was known has returned. */
    read(versioned: VersionedTables, latestAtStart: number): void;
    /** The newest version, by index, that a host has answered a watch with. */
    watchedIndex(hostId: string): number;
    /** A host answered a watch that began when it had answered with `indexAtStart`; answers may overtake each other. */
    watched(hostId: string, versioned: VersionedTables, indexAtStart: number): void;
    /** All faults have ended: the history of a host that is up to date, newest first. */
    ended(history: readonly HistoryEntry[]): void;
    /** How many changes were answered as accepted. */
    acceptedCount(): number;
    violate(reason: string): void;
    violations(): readonly string[];
}

/** The change that a version's tables came from: the proof names their only route after it. */
export const changeOf = (versioned: VersionedTables): string => versioned.tables.routes[0]?.brand ?? "";

/** Creates the checker of one case. */
export const createConfigChecker = (): ConfigChecker => {
    const answers = new Map<string, string>();
    const winners = new Map<number, string>();
    const watchedIndices = new Map<string, number>();
    const accepted = new Map<number, string>();
    const violations: string[] = [];
    let latest = 0;

    const watchedIndex = (hostId: string): number => watchedIndices.get(hostId) ?? 0;

    const violate = (reason: string): void => {
        violations.push(reason);
    };

    const noteWinner = (version: Version, changeId: string): void => {
        const known = winners.get(version.index);
        if (known !== undefined && known !== changeId) {
            violate(`Version ${formatVersion(version)} was won by '${known}' and by '${changeId}'.`);
        }
        winners.set(version.index, changeId);
        latest = Math.max(latest, version.index);
    };

    const noteTables = (versioned: VersionedTables): void => {
        if (versioned.version.index > 0) {
            noteWinner(versioned.version, changeOf(versioned));
        }
    };

    const noteAnswer = (changeId: string, reply: StateReply): void => {
        const text = JSON.stringify(reply);
        const known = answers.get(changeId);
        if (known !== undefined && known !== text) {
            violate(`The change '${changeId}' was answered ${known} and ${text}.`);
        }
        answers.set(changeId, text);
    };

    return {
        decided: (changeId, reply) => {
            if (reply.kind === StateReplyKind.Applied) {
                noteAnswer(changeId, reply);
                noteWinner(reply.version, changeId);
                accepted.set(reply.version.index, changeId);
            }
            if (reply.kind === StateReplyKind.Conflict) {
                noteAnswer(changeId, reply);
                if (reply.version.index > 0) {
                    noteWinner(reply.version, reply.winningChangeId);
                }
            }
        },
        latestKnown: () => latest,
        read: (versioned, latestAtStart) => {
            if (versioned.version.index < latestAtStart) {
                violate(`A read returned ${formatVersion(versioned.version)} after version ${latestAtStart} was known.`);
            }
            noteTables(versioned);
        },
        watchedIndex,
        watched: (hostId, versioned, indexAtStart) => {
            const { index } = versioned.version;
            if (index < indexAtStart) {
                violate(`The host '${hostId}' went back from version ${indexAtStart} to ${index}.`);
            }
            watchedIndices.set(hostId, Math.max(index, watchedIndex(hostId)));
            noteTables(versioned);
        },
        ended: history => {
            const kept = new Map(history.map(entry => [entry.version.index, entry.changeId]));
            for (const [index, changeId] of accepted) {
                if (kept.get(index) !== changeId) {
                    violate(`The accepted change '${changeId}' of version ${index} is lost.`);
                }
            }
            for (const entry of history) {
                noteWinner(entry.version, entry.changeId);
            }
        },
        acceptedCount: () => accepted.size,
        violate,
        violations: () => violations,
    };
};
