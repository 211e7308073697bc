/** The follower's side of the log: accepts entries and snapshots of the leader. */
import { createConfigurationMachine } from "./configuration-machine.js";
import type { Election } from "./election.js";
import type { LogEntry } from "./log-entry.js";
import type { NodeContext } from "./node-context.js";
import { NodeActionKind, PeerMessageKind } from "./node-messages.js";
import type { AppendMessage, InstallSnapshotMessage } from "./node-messages.js";

/** The follower's side of the log. */
export interface Follower {
    receiveAppend(from: string, message: AppendMessage): void;
    receiveSnapshot(from: string, message: InstallSnapshotMessage): void;
}

/** Creates the follower's side of one host; `committed` is told when `commitIndex` has grown. */
export const createFollower = (ctx: NodeContext, election: Election, committed: () => void): Follower => {
    const answer = (to: string, round: number, ok: boolean, index: number): void => {
        ctx.send(to, {
            kind: PeerMessageKind.AppendReply,
            term: ctx.hard.term,
            ok,
            index,
            round,
            incarnation: ctx.hard.incarnation,
        });
    };

    /** Whether the sender leads the current term; an older leader is told so. */
    const acceptLeader = (from: string, term: number, round: number, quorumAgeMs: number): boolean => {
        if (ctx.hard.founding) {
            return false;
        }
        if (term < ctx.hard.term) {
            answer(from, round, false, ctx.log.lastIndex() + 1);
            return false;
        }
        election.follow(term, from);
        ctx.leaderHeardAt = ctx.now;
        ctx.leaderQuorumAgeMs = quorumAgeMs;
        return true;
    };

    /** Where the leader should try next: before every entry of the term that does not match. */
    const retryIndex = (previousIndex: number): number => {
        if (previousIndex > ctx.log.lastIndex()) {
            return ctx.log.lastIndex() + 1;
        }
        const term = ctx.log.termAt(previousIndex);
        let index = previousIndex;
        while (index > ctx.commitIndex + 1 && ctx.log.termAt(index - 1) === term) {
            index -= 1;
        }
        return Math.max(index, ctx.commitIndex + 1);
    };

    /** Writes only what is new: a late message must never cut entries that were acknowledged since. */
    const store = (entries: readonly LogEntry[]): void => {
        const firstNew = entries.findIndex(entry =>
            entry.index > ctx.log.baseIndex() && ctx.log.termAt(entry.index) !== entry.term
        );
        if (firstNew === -1) {
            return;
        }
        const added = entries.slice(firstNew);
        const fromIndex = added[0]!.index;
        if (fromIndex <= ctx.log.lastIndex()) {
            ctx.log.truncate(fromIndex);
            ctx.emit({ kind: NodeActionKind.Truncate, fromIndex });
        }
        ctx.log.append(added);
        ctx.emit({ kind: NodeActionKind.Append, entries: added });
    };

    const commitUpTo = (index: number): void => {
        if (index > ctx.commitIndex) {
            ctx.commitIndex = index;
            committed();
        }
    };

    const receiveAppend = (from: string, message: AppendMessage): void => {
        if (!acceptLeader(from, message.term, message.round, message.quorumAgeMs)) {
            return;
        }
        if (message.previousIndex < ctx.log.baseIndex()) {
            answer(from, message.round, false, ctx.commitIndex + 1);
            return;
        }
        if (ctx.log.termAt(message.previousIndex) !== message.previousTerm) {
            answer(from, message.round, false, retryIndex(message.previousIndex));
            return;
        }
        store(message.entries);
        const matchIndex = message.previousIndex + message.entries.length;
        // Entries after `matchIndex` may belong to an older leader, so they are not committed by this message.
        commitUpTo(Math.min(message.commitIndex, matchIndex));
        answer(from, message.round, true, matchIndex);
    };

    const receiveSnapshot = (from: string, message: InstallSnapshotMessage): void => {
        if (!acceptLeader(from, message.term, message.round, 0)) {
            return;
        }
        const { snapshot } = message;
        if (snapshot.index <= ctx.commitIndex) {
            answer(from, message.round, true, ctx.commitIndex);
            return;
        }
        // Entries that go on from the snapshot may have been acknowledged already, so they stay.
        if (ctx.log.termAt(snapshot.index) === snapshot.term) {
            ctx.log.compact(snapshot.index);
        }
        else {
            ctx.log.reset(snapshot);
        }
        ctx.machine = createConfigurationMachine(snapshot.machine);
        ctx.appliedIndex = snapshot.index;
        ctx.emit({ kind: NodeActionKind.SaveSnapshot, snapshot, entries: ctx.log.slice(snapshot.index + 1) });
        commitUpTo(snapshot.index);
        answer(from, message.round, true, snapshot.index);
    };

    return { receiveAppend, receiveSnapshot };
};
