/** Entry hosts that wait for newer tables. */
import { StateReplyKind } from "../state-messages.js";
import type { StateReply, WatchRequest } from "../state-messages.js";
import { compareVersions } from "../tables.js";
import type { Version } from "../tables.js";
import type { NodeContext } from "./node-context.js";
import { catchingUpReply } from "./request-replies.js";

/** The longest that a watch is held, in milliseconds. */
const maxWaitMs = 60_000;

interface Watcher {
    requestId: number;
    known: Version;
    deadline: number;
}

/** Holds the watches of one host. */
export interface Watchers {
    add(requestId: number, request: WatchRequest): void;
    /** Answers those that newer tables have come for. */
    settle(): void;
    tick(): void;
    /** Answers all of them, because the process stops. */
    close(): void;
}

/** Creates the watches of one host; `isCaughtUp` says whether its committed tables are not older than before its start. */
export const createWatchers = (ctx: NodeContext, isCaughtUp: () => boolean): Watchers => {
    let watchers: Watcher[] = [];

    const hasNewer = (known: Version): boolean => {
        const { version } = ctx.machine.versioned();
        return isCaughtUp() && version.index > 0 && compareVersions(version, known) > 0;
    };

    const unchanged = (): StateReply =>
        isCaughtUp() ? { kind: StateReplyKind.Unchanged, version: ctx.machine.versioned().version } : catchingUpReply();

    const answerWhere = (test: (watcher: Watcher) => boolean, reply: () => StateReply): void => {
        const answered = watchers.filter(test);
        if (answered.length === 0) {
            return;
        }
        watchers = watchers.filter(watcher => !answered.includes(watcher));
        for (const watcher of answered) {
            ctx.reply(watcher.requestId, reply());
        }
    };

    const settle = (): void =>
        answerWhere(
            watcher => hasNewer(watcher.known),
            () => ({ kind: StateReplyKind.Tables, versioned: ctx.machine.versioned() }),
        );

    return {
        add: (requestId, request) => {
            const waitMs = Math.min(Math.max(request.waitMs, 0), maxWaitMs);
            watchers.push({ requestId, known: request.known, deadline: ctx.now + waitMs });
            settle();
        },
        settle,
        tick: () => {
            settle();
            answerWhere(watcher => ctx.now >= watcher.deadline, unchanged);
        },
        close: () => answerWhere(() => true, unchanged),
    };
};
