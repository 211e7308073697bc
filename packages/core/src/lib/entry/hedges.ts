/** Starts hedges: second attempts of slow idempotent requests, in parallel with the first. */
import type { EntryAction } from "./entry-messages.js";
import type { PoolController } from "./pool-controller.js";
import type { RequestFlowDependencies } from "./request-flow-dependencies.js";
import type { OpenRequest, RequestRegistry } from "./request-registry.js";
import type { Submissions } from "./submissions.js";

/** Options of {@link createHedges}. */
export interface HedgesCfg {
    registry: RequestRegistry;
    deps: RequestFlowDependencies;
    submissions: Submissions;
}

/** The hedges of one host. */
export interface Hedges {
    /** Starts the hedges that are due at `now`, in milliseconds. */
    start(now: number): EntryAction[];
}

/** Returns when a hedge of the request is to be started, in milliseconds; `undefined` when none is. */
export const hedgeTimeOf = (request: OpenRequest, pool: PoolController, now: number): number | undefined => {
    const afterMs = request.idempotent && request.attemptCount === 1 ? pool.hedgeAfterMs(request.info.kind) : undefined;
    return afterMs === undefined ? undefined : now + afterMs;
};

/** Creates the hedges of one host's requests. */
export const createHedges = ({ registry, deps, submissions }: HedgesCfg): Hedges => {
    const startHedge = (request: OpenRequest, now: number): EntryAction[] => {
        request.hedgeAt = undefined;
        const pool = deps.pools.find(request.service);
        const { idempotent, attemptCount: attempts, info } = request;
        const hedgeRequest = { requestKind: info.kind, idempotent, attempts, now, deadlineAt: info.deadlineAt };
        const isWanted = pool !== undefined && deps.turns.isFree(info, now) && !request.callerDisconnected
            && registry.attemptsOf(info.requestId).length === 1;
        return isWanted && pool.takeHedge(hedgeRequest) ? submissions.submit(request, pool, now) : [];
    };

    return { start: now => registry.requestsDueForHedge(now).flatMap(request => startHedge(request, now)) };
};
