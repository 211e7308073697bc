/** Orders waiting requests, and finds those that can't be served before their deadline. */
import type { AdmissionRequest } from "./admission-request.js";
import type { WorkEstimate } from "./work-estimate.js";

/** Where a request stands in the order. Times are in milliseconds. */
export interface Standing<T extends AdmissionRequest> {
    req: T;
    /** Whether its priority or its workspace is served less often than its floor, so that it goes first. */
    isBelowFloor: boolean;
    workMs: number;
    /** Latest start for an answer within the objective and before the deadline. */
    objectiveStartBy: number;
    deadlineStartBy: number;
}

/** The objective leaves at least this fraction of itself for waiting, also where answers usually take longer. */
const minWaitFraction = 0.2;
/** Part of the usual variation of answer times that is kept free before the deadline. */
const deadlineMargin = 0;

/** Computes where a request stands whose caller first sent it at `firstSentAt`. */
export const standingOf = <T extends AdmissionRequest>(
    req: T,
    firstSentAt: number,
    work: WorkEstimate,
    isBelowFloor: boolean,
): Standing<T> => {
    const { route, objectiveMs, deadlineAt } = req;
    const workMs = work.workMs(route, objectiveMs);
    const answerMs = work.answerMs(route, objectiveMs);
    return {
        req,
        isBelowFloor,
        workMs,
        objectiveStartBy: firstSentAt + Math.max(objectiveMs - answerMs, minWaitFraction * objectiveMs),
        deadlineStartBy: deadlineAt - workMs - deadlineMargin * Math.max(0, answerMs - workMs),
    };
};

/**
 * Compares two waiting requests: first those below their floor, then by priority. Of one priority, those that can still be
 * answered within their objective go before the late ones, which lose nothing more by waiting, and then the least slack.
 */
export const compareStandings = (a: Standing<AdmissionRequest>, b: Standing<AdmissionRequest>, now: number): number => {
    if (a.isBelowFloor !== b.isBelowFloor) {
        return a.isBelowFloor ? -1 : 1;
    }
    if (a.req.priority !== b.req.priority) {
        return a.req.priority - b.req.priority;
    }
    const isLateA = now > a.objectiveStartBy;
    const isLateB = now > b.objectiveStartBy;
    if (isLateA !== isLateB) {
        return isLateA ? 1 : -1;
    }
    return isLateA
        ? a.deadlineStartBy - b.deadlineStartBy
        : Math.min(a.objectiveStartBy, a.deadlineStartBy) - Math.min(b.objectiveStartBy, b.deadlineStartBy);
};

/** Whether `a` is turned away before `b`: the less urgent first, and of one priority the one that needs more work. */
const isTurnedAwayBefore = (a: Standing<AdmissionRequest>, b: Standing<AdmissionRequest>): boolean => {
    if (a.isBelowFloor !== b.isBelowFloor) {
        return b.isBelowFloor;
    }
    return a.req.priority === b.req.priority ? a.workMs > b.workMs : a.req.priority > b.req.priority;
};

/**
 * Returns the requests that can't be served even if nothing more arrives, given all waiting ones in their order and the slots
 * that this host may expect to have. Where one of several has to go, it is the one whose absence costs least (the algorithm of
 * Moore and Hodgson, within priority).
 */
export const findUnservable = <T extends AdmissionRequest>(
    ordered: readonly Standing<T>[],
    slots: number,
    now: number,
): Set<Standing<T>> => {
    const unservable = new Set<Standing<T>>();
    const kept: Standing<T>[] = [];
    let workAhead = 0;
    for (const standing of ordered) {
        kept.push(standing);
        if (now > standing.deadlineStartBy) {
            unservable.add(standing);
            kept.pop();
            continue;
        }
        if (kept.length > 1 && now + workAhead / slots > standing.deadlineStartBy) {
            const victim = kept.reduce((worst, other) => isTurnedAwayBefore(worst, other) ? worst : other);
            kept.splice(kept.indexOf(victim), 1);
            unservable.add(victim);
            workAhead -= victim === standing ? 0 : victim.workMs;
        }
        workAhead += unservable.has(standing) ? 0 : standing.workMs;
    }
    return unservable;
};
