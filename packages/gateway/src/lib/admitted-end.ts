/** What the end of an attempt shows about the room at its server. */
import { AttemptOutcome } from "@cassiapick/core";
import type { AdmittedEnd, AttemptPlan, GatewayRoute } from "@cassiapick/core";

const roomOutcomes: Partial<Record<AttemptOutcome, AdmittedEnd["outcome"]>> = {
    [AttemptOutcome.Answered]: "answered",
    [AttemptOutcome.Declined]: "declined",
};

/**
 * Returns the evidence about room; `undefined` if another host has sent the request, or if the outcome says nothing of room.
 * `elapsedMs` is the duration of the attempt.
 */
export const admittedEndOf = (
    { name, latencyObjectiveMs }: Pick<GatewayRoute, "name" | "latencyObjectiveMs">,
    plan: AttemptPlan,
    outcome: AttemptOutcome,
    elapsedMs: number,
): AdmittedEnd | undefined => {
    const roomOutcome = roomOutcomes[outcome];
    return plan.kind !== "direct" || roomOutcome === undefined ? undefined : {
        route: name,
        objectiveMs: latencyObjectiveMs,
        elapsedMs,
        outcome: roomOutcome,
        wasQueued: plan.choice.load >= plan.choice.server.slots,
    };
};
