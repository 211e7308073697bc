/** Turns the replies of state hosts into results of commands. */
import { formatVersion, StateReplyKind } from "@cassiapick/core";
import type { StateReply } from "@cassiapick/core";
import { failWith, succeed } from "./command-result.js";
import type { CommandResult } from "./command-result.js";
import type { StateAnswer } from "./state-client.js";

type ReplyOf<K extends StateReplyKind> = Extract<StateReply, { kind: K; }>;
type Handlers = { [K in StateReplyKind]: (reply: ReplyOf<K>) => CommandResult; };

const unexpected = (reply: StateReply): CommandResult =>
    failWith({
        kind: "refused",
        message: `The state host replied '${reply.kind}', which does not answer this question. Use the same version on both.`,
    });

const handlers: Handlers = {
    [StateReplyKind.Applied]: ({ version }) =>
        succeed(`Applied as version ${formatVersion(version)}.`, { version: formatVersion(version) }),
    [StateReplyKind.Conflict]: ({ version, winningChangeId, message }) =>
        failWith({
            kind: "conflict",
            version: formatVersion(version),
            winningChangeId,
            message: `${message}\nChange '${winningChangeId}' won and is in force as version ${formatVersion(version)}. `
                + "Nothing of yours was applied. See what it did with 'tables history' and 'tables diff', "
                + "merge it into your files and apply again.",
        }),
    [StateReplyKind.Invalid]: ({ message }) => failWith({ kind: "refused", message }),
    [StateReplyKind.NotLeader]: ({ message }) => failWith({ kind: "unreachable", message }),
    [StateReplyKind.Unavailable]: ({ message }) => failWith({ kind: "unreachable", message }),
    [StateReplyKind.Tables]: unexpected,
    [StateReplyKind.Unchanged]: unexpected,
    [StateReplyKind.Status]: unexpected,
    [StateReplyKind.History]: unexpected,
    [StateReplyKind.Enrolled]: unexpected,
    [StateReplyKind.Recorded]: unexpected,
    [StateReplyKind.Published]: unexpected,
};

/** Renders why each host gave no final answer. */
export const renderFailures = (answer: Extract<StateAnswer, { ok: false; }>): string =>
    answer.failures.map(({ hostId, message }) => `  ${hostId}: ${message}`).join("\n");

/** The result of an answer; an answer that no host gave is `unreachable`. */
export const changeResultOf = (answer: StateAnswer): CommandResult => {
    if (!answer.ok) {
        const message = "No state host gave an answer. Check that a majority of them runs and that --state-hosts is right.\n"
            + renderFailures(answer);
        return failWith({ kind: "unreachable", message: message.trimEnd() });
    }
    const handler = handlers[answer.reply.kind] as (reply: StateReply) => CommandResult;
    return handler(answer.reply);
};
