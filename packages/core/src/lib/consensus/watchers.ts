/** Long-poll watches of entry hosts for newer tables. */
import { StateReplyKind } from "../state-messages.js";
import type { StateReply, WatchRequest } from "../state-messages.js";
import { compareVersions } from "../tables.js";
import type { Version } from "../tables.js";
import type { NodeContext } from "./node-context.js";
import { unconfirmedReply } from "./request-replies.js";

/** Longest time that a watch is held open, in milliseconds. */
const maxWatchMs = 60_000;
/**
 * Watches are answered as unavailable once no majority has confirmed the view for this long, in milliseconds: longer than an
 * election, and short enough for a change to be in force everywhere within 4 s.
 */
const maxUnconfirmedMs = 3000;

/** One open watch. */
interface Watcher {
    requestId: number;
    known: Version;
    deadline: number;
}

/** The open watches of one host. */
export interface Watchers {
    /** Adds a watch; it is answered at once if newer tables are in force. */
    add(requestId: number, request: WatchRequest): void;
    /** Replies to the watches for which newer tables are in force. */
    notifyNewer(): void;
    /** Replies to the watches whose tables are newer or whose deadline has passed. */
    tick(): void;
    /** Replies to all watches, because the process is about to stop. */
    replyToAll(): void;
}

/**
 * Creates the watches of one host; `isCaughtUp` returns whether its committed tables are at least as new as before its
 * start, and `viewAgeMs` the time since a majority confirmed them.
 */
export const createWatchers = (ctx: NodeContext, isCaughtUp: () => boolean, viewAgeMs: () => number): Watchers => {
    let watchers: Watcher[] = [];

    const hasNewer = (known: Version): boolean => {
        const { version } = ctx.machine.versioned();
        return isCaughtUp() && version.index > 0 && compareVersions(version, known) > 0;
    };

    const isConfirmed = (): boolean => viewAgeMs() <= maxUnconfirmedMs;

    const unchangedReply = (): StateReply =>
        isCaughtUp() && isConfirmed()
            ? { kind: StateReplyKind.Unchanged, version: ctx.machine.versioned().version }
            : unconfirmedReply();

    const replyWhere = (predicate: (watcher: Watcher) => boolean, reply: () => StateReply): void => {
        const ready = watchers.filter(predicate);
        if (ready.length === 0) {
            return;
        }
        watchers = watchers.filter(watcher => !ready.includes(watcher));
        for (const watcher of ready) {
            ctx.reply(watcher.requestId, reply());
        }
    };

    const notifyNewer = (): void =>
        replyWhere(
            watcher => hasNewer(watcher.known),
            () => ({ kind: StateReplyKind.Tables, versioned: ctx.machine.versioned() }),
        );

    return {
        add: (requestId, request) => {
            const waitMs = Math.min(Math.max(request.waitMs, 0), maxWatchMs);
            watchers.push({ requestId, known: request.known, deadline: ctx.now + waitMs });
            notifyNewer();
        },
        notifyNewer,
        tick: () => {
            notifyNewer();
            replyWhere(watcher => ctx.now >= watcher.deadline || (isCaughtUp() && !isConfirmed()), unchangedReply);
        },
        replyToAll: () => replyWhere(() => true, unchangedReply),
    };
};
