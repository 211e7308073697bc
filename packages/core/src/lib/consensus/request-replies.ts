/** Builds the replies of a state host and their messages. */
import { StateReplyKind } from "../state-messages.js";
import type { StateReply } from "../state-messages.js";
import { formatVersion } from "../tables.js";
import type { ChangeDecision } from "./log-entry.js";

/** How long a client waits before it retries, in milliseconds. */
const retryAfterMs = 200;

/** Creates the reply to a decided change; the same on every retry of its change id. */
export const decisionReply = (decision: ChangeDecision): StateReply =>
    decision.won ? { kind: StateReplyKind.Applied, version: decision.version } : {
        kind: StateReplyKind.Conflict,
        version: decision.version,
        winningChangeId: decision.winningChangeId,
        message: `Version ${formatVersion(decision.version)} is in force, made by the change '${decision.winningChangeId}'. `
            + "Read the tables, make your edit on that version and apply it with a new change id.",
    };

/** Creates the reply to a request that reached no leader with a majority within its timeout. */
export const unavailableReply = (): StateReply => ({
    kind: StateReplyKind.Unavailable,
    retryAfterMs,
    message: "No majority of the state hosts answered in time, so the outcome is unknown. Check that a majority runs, "
        + "then send the same request again; a change keeps its change id.",
});

/** Creates the reply of a host whose tables no majority has confirmed, since its start or for a while. */
export const unconfirmedReply = (): StateReply => ({
    kind: StateReplyKind.Unavailable,
    retryAfterMs,
    message: "No majority of the state hosts confirms the tables of this state host. Ask another state host, or ask again later.",
});

/** Creates the reply of a host that is not the leader. */
export const notLeaderReply = (leaderId: string | undefined): StateReply => ({
    kind: StateReplyKind.NotLeader,
    leaderId,
    message: "This state host does not lead. Ask the leader, or ask again later when none is named.",
});
