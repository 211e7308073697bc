/** The refusals of a claim node. */
import { Outcome, RefusalKind } from "../outcome.js";
import type { Refusal } from "../outcome.js";
import { TallyKind } from "./tally.js";

/** The longest key that is taken, in characters: replicas keep every key for a horizon. */
export const maxKeyLength = 256;

/** The ways in which a claim is refused. */
export type RefusedKind = TallyKind.AnswerDropped | TallyKind.KeyMismatch | TallyKind.AlreadyStarted | TallyKind.NoMajority;

/** What a refusal depends on. */
export interface RefusalContext {
    retryAfterMs: number;
    /** Whether the key was certainly never sent before. */
    firstSending: boolean;
}

const refusals: Record<RefusedKind, (context: RefusalContext) => Refusal> = {
    [TallyKind.AnswerDropped]: () => ({
        kind: RefusalKind.AlreadyStarted,
        outcome: Outcome.Unknown,
        message: "A request with this key ran to its end, but its answer is no longer kept. Look its result up at the service.",
    }),
    [TallyKind.KeyMismatch]: () => ({
        kind: RefusalKind.KeyMismatch,
        outcome: Outcome.NotRun,
        message: "The idempotency key belongs to a different request. Send this request with a key of its own.",
    }),
    [TallyKind.AlreadyStarted]: ({ retryAfterMs }) => ({
        kind: RefusalKind.AlreadyStarted,
        outcome: Outcome.Unknown,
        retryAfterMs,
        message: "A request with this key has started and its result is not known yet. Send it again later with the same key.",
    }),
    [TallyKind.NoMajority]: ({ retryAfterMs, firstSending }) => ({
        kind: RefusalKind.ClaimUnavailable,
        outcome: firstSending ? Outcome.NotRun : Outcome.Unknown,
        retryAfterMs,
        message: firstSending
            ? "Too few hosts that record the key are in reach, so the request was not run. Send it again with the same key."
            : "Too few hosts that record the key are in reach to tell whether it ran. This time it was not run. Send it again "
                + "with the same key.",
    }),
};

/** The refusal of a claim. */
export const refusalOf = (kind: RefusedKind, context: RefusalContext): Refusal => refusals[kind](context);

/** The refusal of a claim that came too late. `neverRan` tells whether no sending of the key can have run. */
export const deadlineRefusal = (neverRan: boolean): Refusal => ({
    kind: RefusalKind.DeadlinePassed,
    outcome: neverRan ? Outcome.NotRun : Outcome.Unknown,
    message: "The deadline passed before the key was recorded, so the request was not run this time. Allow more time.",
});

/** The refusal of a key that no replica keeps. */
export const keyTooLongRefusal: Refusal = {
    kind: RefusalKind.BadRequest,
    outcome: Outcome.NotRun,
    message: `The idempotency key has more than ${maxKeyLength} characters. Send a shorter one.`,
};
