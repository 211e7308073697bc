/** Converts the replies of state hosts to results of commands. */
import { formatVersion, StateReplyKind } from "@cassiapick/core";
import type { StateReply } from "@cassiapick/core";
import { failWith, succeed } from "./command-result.js";
import type { CommandResult } from "./command-result.js";
import type { StateRequestResult } from "./state-client.js";

type ReplyOf<K extends StateReplyKind> = Extract<StateReply, { kind: K; }>;
type ReplyHandlers = { [K in StateReplyKind]: (reply: ReplyOf<K>) => CommandResult; };

const unexpectedReply = (reply: StateReply): CommandResult =>
    failWith({
        kind: "refused",
        message: `The state host replied '${reply.kind}', which does not match the request. Run the same version on both sides.`,
    });

const replyHandlers: ReplyHandlers = {
    [StateReplyKind.Applied]: ({ version }) =>
        succeed(`Applied as version ${formatVersion(version)}.`, { version: formatVersion(version) }),
    [StateReplyKind.Conflict]: ({ version, winningChangeId, message }) =>
        failWith({
            kind: "conflict",
            version: formatVersion(version),
            winningChangeId,
            message: `${message}\nChange '${winningChangeId}' won and is in force as version ${formatVersion(version)}. `
                + "Your change was not applied. See what the other one did with 'tables history' and 'tables diff', "
                + "merge it into your files and apply again.",
        }),
    [StateReplyKind.Invalid]: ({ message }) => failWith({ kind: "refused", message }),
    [StateReplyKind.NotLeader]: ({ message }) => failWith({ kind: "unreachable", message }),
    [StateReplyKind.Unavailable]: ({ message }) => failWith({ kind: "unreachable", message }),
    [StateReplyKind.Tables]: unexpectedReply,
    [StateReplyKind.Unchanged]: unexpectedReply,
    [StateReplyKind.Status]: unexpectedReply,
    [StateReplyKind.History]: unexpectedReply,
    [StateReplyKind.Enrolled]: unexpectedReply,
    [StateReplyKind.Recorded]: unexpectedReply,
    [StateReplyKind.Published]: unexpectedReply,
};

/** Renders the last failure of each host, one per line. */
export const renderFailures = (answer: Extract<StateRequestResult, { ok: false; }>): string =>
    answer.failures.map(({ hostId, message }) => `  ${hostId}: ${message}`).join("\n");

/** Converts the answer of the state hosts to a result; when no host answered, an `unreachable` error. */
export const toCommandResult = (answer: StateRequestResult): CommandResult => {
    if (!answer.ok) {
        const message =
            "No state host gave an answer. Check that a majority of them is running and that --state-hosts is right.\n"
            + renderFailures(answer);
        return failWith({ kind: "unreachable", message: message.trimEnd() });
    }
    const handler = replyHandlers[answer.reply.kind] as (reply: StateReply) => CommandResult;
    return handler(answer.reply);
};
