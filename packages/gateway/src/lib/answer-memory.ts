/** The memory that an entry host may use for answers, and the refusal of requests that it has no memory for. */
import { createByteBudget } from "@cassiapick/core";
import type { ByteBudget } from "@cassiapick/core";
import { ReplyKind } from "./caller-request.js";
import type { CallerRequest, RequestRun } from "./caller-request.js";

/** The memory for answers of one host. */
export interface AnswerMemory {
    budget: ByteBudget;
    /** Returns a refused run if the answer may be large and memory is short; the request is not sent anywhere. */
    refusal(req: CallerRequest): RequestRun | undefined;
}

/** Fraction of the process's memory that answers may take; the rest is for the program and for what it knows of the fleet. */
const answerFraction = 0.25;
/** Bounds of `Retry-After`, in milliseconds. */
const retryAfterRange = { minMs: 100, maxMs: 2000 } as const;
/** Time in which callers that read slowly are expected to take half of what is held, if the rate of the link is not known, in milliseconds. */
const defaultDrainMs = 500;

/** Creates the memory of a host; without `memoryBytes`, no request is refused. */
export const createAnswerMemory = (memoryBytes: number | undefined, linkBytesPerMs: number | undefined): AnswerMemory => {
    const budget = createByteBudget(memoryBytes === undefined ? Infinity : answerFraction * memoryBytes);

    const retryAfterMs = (): number => {
        const drainMs = linkBytesPerMs === undefined ? defaultDrainMs : budget.held() / 2 / linkBytesPerMs;
        return Math.min(retryAfterRange.maxMs, Math.max(retryAfterRange.minMs, drainMs));
    };

    return {
        budget,
        refusal: ({ route }) => {
            if (route.hasLargeAnswers !== true || !budget.isShort()) {
                return undefined;
            }
            const reason = `this host holds ${budget.held()} bytes of answers that callers have not read`;
            const reply = Promise.resolve({ kind: ReplyKind.Refused, retryAfterMs: retryAfterMs(), reason } as const);
            return { reply, cancel: () => undefined, refuseUnsent: () => undefined };
        },
    };
};
