/** Submits the attempts of requests to the schedulers of their pools, each in its turn. */
import type { Refusal } from "../outcome.js";
import { TurnState } from "../quarantine/index.js";
import type { EntryAction } from "./entry-messages.js";
import type { PoolController } from "./pool-controller.js";
import { correctOutcome, quarantined } from "./refusals.js";
import type { RequestFlowDependencies } from "./request-flow-dependencies.js";
import type { OpenRequest, RequestRegistry } from "./request-registry.js";

/** Options of {@link createSubmissions}. */
export interface SubmissionsCfg {
    registry: RequestRegistry;
    deps: RequestFlowDependencies;
    refuse: (request: OpenRequest, refusal: Refusal, now: number) => EntryAction[];
}

/** The submission of attempts. `now` is in milliseconds. */
export interface Submissions {
    /** Submits the request's next attempt, at once or when its turn comes, or refuses the request if it is quarantined. */
    submit(request: OpenRequest, pool: PoolController, now: number): EntryAction[];
    /** Submits or refuses the requests that need not wait any more. */
    startSettled(now: number): EntryAction[];
}

/** Creates the submission of one host's requests. */
export const createSubmissions = ({ registry, deps, refuse }: SubmissionsCfg): Submissions => {
    const submitNow = (request: OpenRequest, pool: PoolController, now: number): EntryAction[] => {
        const { attemptId } = registry.addAttempt(request);
        const { brand, kind, deadlineAt } = request.info;
        const { arrivedAt, idempotent, triedServerIds: triedIds } = request;
        const slotRequest = { attemptId, brand, requestKind: kind, deadlineAt, arrivedAt, idempotent, triedIds: [...triedIds] };
        return deps.applyPool(pool, pool.submit(slotRequest, now), now);
    };

    const afterTurn = (request: OpenRequest, pool: PoolController, state: TurnState, now: number): EntryAction[] => {
        if (state === TurnState.Denied) {
            return refuse(request, correctOutcome(request, quarantined(deps.turns.retryAfterMs(request.info, now))), now);
        }
        return state === TurnState.Waiting ? [] : submitNow(request, pool, now);
    };

    return {
        submit: (request, pool, now) => afterTurn(request, pool, deps.turns.take(request.info, now), now),
        startSettled: now =>
            deps.turns.settled(now).flatMap(({ requestId, state }) => {
                const request = registry.find(requestId);
                const pool = request === undefined ? undefined : deps.pools.find(request.service);
                return request === undefined || pool === undefined ? [] : afterTurn(request, pool, state, now);
            }),
    };
};
