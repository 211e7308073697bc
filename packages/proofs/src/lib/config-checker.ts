/** Checks replies of state hosts against a single copy of the tables that takes one change at a time. */
import { formatVersion, StateReplyKind } from "@cassiapick/core";
import type { HistoryEntry, StateReply, Version, VersionedTables } from "@cassiapick/core";

/** Records replies and the violations that they show. */
export interface ConfigChecker {
    /** Records the reply to a change. */
    recordReply(changeId: string, reply: StateReply): void;
    /** Returns the index of the latest version that any reply has contained. */
    latestKnownIndex(): number;
    /** Records the result of a read that was sent when `latestAtStart` was the latest known index. */
    recordRead(versioned: VersionedTables, latestAtStart: number): void;
    /** Returns the index of the newest version that a host has returned to a watch. */
    watchedIndex(hostId: string): number;
    /** Records the result of a watch that was sent when the host had returned up to `indexAtStart`; replies may arrive out of order. */
    recordWatch(hostId: string, versioned: VersionedTables, indexAtStart: number): void;
    /** Checks that the history of an up-to-date host, newest first, contains every accepted change. */
    checkHistory(history: readonly HistoryEntry[]): void;
    /** Returns the number of changes that were reported as accepted. */
    acceptedCount(): number;
    addViolation(reason: string): void;
    violations(): readonly string[];
}

/** Returns the change that a version's tables come from: the brand of their only route is the change id. */
export const changeIdOf = (versioned: VersionedTables): string => versioned.tables.routes[0]?.brand ?? "";

/** Creates the checker of one case. */
export const createConfigChecker = (): ConfigChecker => {
    const replyTextByChangeId = new Map<string, string>();
    const winnerByIndex = new Map<number, string>();
    const watchedIndexByHost = new Map<string, number>();
    const acceptedByIndex = new Map<number, string>();
    const violations: string[] = [];
    let latestIndex = 0;

    const watchedIndex = (hostId: string): number => watchedIndexByHost.get(hostId) ?? 0;

    const addViolation = (reason: string): void => {
        violations.push(reason);
    };

    const recordWinner = (version: Version, changeId: string): void => {
        const previous = winnerByIndex.get(version.index);
        if (previous !== undefined && previous !== changeId) {
            addViolation(`Version ${formatVersion(version)} was won by '${previous}' and by '${changeId}'.`);
        }
        winnerByIndex.set(version.index, changeId);
        latestIndex = Math.max(latestIndex, version.index);
    };

    const recordTables = (versioned: VersionedTables): void => {
        if (versioned.version.index > 0) {
            recordWinner(versioned.version, changeIdOf(versioned));
        }
    };

    const recordFinalReply = (changeId: string, reply: StateReply): void => {
        const text = JSON.stringify(reply);
        const previous = replyTextByChangeId.get(changeId);
        if (previous !== undefined && previous !== text) {
            addViolation(`The change '${changeId}' got the replies ${previous} and ${text}.`);
        }
        replyTextByChangeId.set(changeId, text);
    };

    return {
        recordReply: (changeId, reply) => {
            if (reply.kind === StateReplyKind.Applied) {
                recordFinalReply(changeId, reply);
                recordWinner(reply.version, changeId);
                acceptedByIndex.set(reply.version.index, changeId);
            }
            if (reply.kind === StateReplyKind.Conflict) {
                recordFinalReply(changeId, reply);
                if (reply.version.index > 0) {
                    recordWinner(reply.version, reply.winningChangeId);
                }
            }
        },
        latestKnownIndex: () => latestIndex,
        recordRead: (versioned, latestAtStart) => {
            if (versioned.version.index < latestAtStart) {
                addViolation(`A read returned ${formatVersion(versioned.version)} after version ${latestAtStart} was known.`);
            }
            recordTables(versioned);
        },
        watchedIndex,
        recordWatch: (hostId, versioned, indexAtStart) => {
            const { index } = versioned.version;
            if (index < indexAtStart) {
                addViolation(`The host '${hostId}' went back from version ${indexAtStart} to ${index}.`);
            }
            watchedIndexByHost.set(hostId, Math.max(index, watchedIndex(hostId)));
            recordTables(versioned);
        },
        checkHistory: history => {
            const changeIdByIndex = new Map(history.map(entry => [entry.version.index, entry.changeId]));
            for (const [index, changeId] of acceptedByIndex) {
                if (changeIdByIndex.get(index) !== changeId) {
                    addViolation(`The accepted change '${changeId}' of version ${index} is lost.`);
                }
            }
            for (const entry of history) {
                recordWinner(entry.version, entry.changeId);
            }
        },
        acceptedCount: () => acceptedByIndex.size,
        addViolation,
        violations: () => violations,
    };
};
