/** The refusals that a claim node sends to callers. */
import { Outcome, RefusalKind } from "../outcome.js";
import type { Refusal } from "../outcome.js";
import { TallyKind } from "./claim-tally.js";

/** The longest idempotency key that is accepted, in characters. Replicas keep every key for the whole horizon. */
export const maxKeyLength = 256;

/** The tallies that refuse a claim. */
export type RefusedTallyKind = TallyKind.AnswerDropped | TallyKind.KeyMismatch | TallyKind.AlreadyStarted | TallyKind.NoMajority;

/** The details of a claim that its refusal depends on. */
export interface RefusalContext {
    retryAfterMs: number;
    /** Whether the key was certainly never sent before. */
    firstSending: boolean;
}

const refusals: Record<RefusedTallyKind, (context: RefusalContext) => Refusal> = {
    [TallyKind.AnswerDropped]: () => ({
        kind: RefusalKind.AlreadyStarted,
        outcome: Outcome.Unknown,
        message: "A request with this key has completed, but its answer is no longer kept. Look up its result at the service.",
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
        message: "A request with this key has started and its result is not known yet. Retry later with the same key.",
    }),
    [TallyKind.NoMajority]: ({ retryAfterMs, firstSending }) => ({
        kind: RefusalKind.ClaimUnavailable,
        outcome: firstSending ? Outcome.NotRun : Outcome.Unknown,
        retryAfterMs,
        message: firstSending
            ? "Too few of the hosts that record the key are reachable, so the request was not run. Retry with the same key."
            : "Too few of the hosts that record the key are reachable to tell whether an earlier request with it ran. This one was "
                + "not run. Retry with the same key.",
    }),
};

/** Returns the refusal for a tally. */
export const refusalOf = (kind: RefusedTallyKind, context: RefusalContext): Refusal => refusals[kind](context);

/**
 * Returns the refusal of a claim whose deadline has passed. `certainlyNotRun` is whether no request with the key can have run.
 */
export const deadlineRefusal = (certainlyNotRun: boolean): Refusal => ({
    kind: RefusalKind.DeadlinePassed,
    outcome: certainlyNotRun ? Outcome.NotRun : Outcome.Unknown,
    message: "The deadline passed before the key was recorded, so this request was not run. Set a longer deadline.",
});

/** The refusal of a key that is too long to keep. */
export const keyTooLongRefusal: Refusal = {
    kind: RefusalKind.BadRequest,
    outcome: Outcome.NotRun,
    message: `The idempotency key has more than ${maxKeyLength} characters. Send a shorter one.`,
};
