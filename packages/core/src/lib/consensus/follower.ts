/** Follower side of log replication: accepts entries and snapshots from the leader. */
import { createConfigurationMachine } from "./configuration-machine.js";
import type { Election } from "./election.js";
import type { LogEntry } from "./log-entry.js";
import type { NodeContext } from "./node-context.js";
import { NodeActionKind, PeerMessageKind } from "./node-messages.js";
import type { AppendMessage, InstallSnapshotMessage } from "./node-messages.js";

/** Follower side of log replication. */
export interface Follower {
    receiveAppend(from: string, message: AppendMessage): void;
    receiveSnapshot(from: string, message: InstallSnapshotMessage): void;
}

/** Creates the follower side of one host; `onCommitAdvanced` is called after `commitIndex` has grown. */
export const createFollower = (ctx: NodeContext, election: Election, onCommitAdvanced: () => void): Follower => {
    const sendAppendReply = (to: string, round: number, ok: boolean, index: number): void => {
        ctx.send(to, {
            kind: PeerMessageKind.AppendReply,
            term: ctx.hardState.term,
            ok,
            index,
            round,
            incarnation: ctx.hardState.incarnation,
        });
    };

    /** Whether the sender leads the current term. A leader of an older term receives a rejection with the current term. */
    const acceptLeader = (from: string, term: number, round: number): boolean => {
        if (ctx.hardState.founding) {
            return false;
        }
        if (term < ctx.hardState.term) {
            sendAppendReply(from, round, false, ctx.log.lastIndex() + 1);
            return false;
        }
        election.becomeFollower(term, from);
        ctx.leaderLastReceivedAt = ctx.now;
        return true;
    };

    /** The index to retry from: the end of a shorter log, or the first entry of the conflicting term, which skips it at once. */
    const nextIndexHint = (previousIndex: number): number => {
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

    /** Writes only missing or conflicting entries: a delayed message must not truncate entries acknowledged since. */
    const appendNewEntries = (entries: readonly LogEntry[]): void => {
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
            onCommitAdvanced();
        }
    };

    const receiveAppend = (from: string, message: AppendMessage): void => {
        if (!acceptLeader(from, message.term, message.round)) {
            return;
        }
        if (message.previousIndex < ctx.log.baseIndex()) {
            sendAppendReply(from, message.round, false, ctx.commitIndex + 1);
            return;
        }
        if (ctx.log.termAt(message.previousIndex) !== message.previousTerm) {
            sendAppendReply(from, message.round, false, nextIndexHint(message.previousIndex));
            return;
        }
        appendNewEntries(message.entries);
        const matchIndex = message.previousIndex + message.entries.length;
        // Entries after `matchIndex` may come from an older leader, so this message does not commit them.
        commitUpTo(Math.min(message.commitIndex, matchIndex));
        // A host whose log is behind the leader's hears from it too, but what it has applied is older.
        if (ctx.commitIndex >= message.commitIndex) {
            ctx.viewConfirmedAt = Math.max(ctx.viewConfirmedAt, ctx.now - message.quorumAgeMs);
        }
        sendAppendReply(from, message.round, true, matchIndex);
    };

    const receiveSnapshot = (from: string, message: InstallSnapshotMessage): void => {
        if (!acceptLeader(from, message.term, message.round)) {
            return;
        }
        const { snapshot } = message;
        if (snapshot.index <= ctx.commitIndex) {
            sendAppendReply(from, message.round, true, ctx.commitIndex);
            return;
        }
        // Entries that follow the snapshot in the log may have been acknowledged already, so they are kept.
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
        sendAppendReply(from, message.round, true, snapshot.index);
    };

    return { receiveAppend, receiveSnapshot };
};
