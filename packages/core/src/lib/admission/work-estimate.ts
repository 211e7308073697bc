/** Learns how long the requests of each route occupy a slot, and how long their answers take while servers have queues. */
import { createWaitEstimate } from "../scheduling/wait-estimate.js";
import type { WaitEstimate } from "../scheduling/wait-estimate.js";

/** The estimates by route. Times are in milliseconds. */
export interface WorkEstimate {
    /** Records an answer; `wasQueued` if the server had no free slot when the request was sent. */
    record(route: string, elapsedMs: number, wasQueued: boolean): void;
    /** Returns the expected time in a slot. */
    workMs(route: string, objectiveMs: number): number;
    /** Returns a time from sending a request to its answer that few answers exceed. */
    answerMs(route: string, objectiveMs: number): number;
}

/** Before the first answers, a route is assumed to take this fraction of its objective. */
const assumedObjectiveFraction = 0.3;
/** Answers that take longer than this many mean deviations beyond the mean are few. */
const deviations = 1.5;
/** Bounds the memory when a configuration has very many routes. */
const maxRoutes = 2000;

interface RouteEstimate {
    work: WaitEstimate | undefined;
    answer: WaitEstimate;
    deviation: WaitEstimate;
}

/** Creates an estimate without answers. */
export const createWorkEstimate = (): WorkEstimate => {
    const routes = new Map<string, RouteEstimate>();

    return {
        record: (route, elapsedMs, wasQueued) => {
            let estimate = routes.get(route);
            if (estimate === undefined) {
                if (routes.size >= maxRoutes) {
                    return;
                }
                estimate = { work: undefined, answer: createWaitEstimate(), deviation: createWaitEstimate() };
                estimate.answer.record(elapsedMs);
                routes.set(route, estimate);
            }
            estimate.deviation.record(Math.abs(elapsedMs - estimate.answer.meanHeldMs()));
            estimate.answer.record(elapsedMs);
            if (!wasQueued) {
                estimate.work ??= createWaitEstimate();
                estimate.work.record(elapsedMs);
            }
        },
        workMs: (route, objectiveMs) => {
            const estimate = routes.get(route);
            return estimate === undefined
                ? assumedObjectiveFraction * objectiveMs
                : (estimate.work ?? estimate.answer).meanHeldMs();
        },
        answerMs: (route, objectiveMs) => {
            const estimate = routes.get(route);
            return estimate === undefined
                ? 2 * assumedObjectiveFraction * objectiveMs
                : estimate.answer.meanHeldMs() + deviations * estimate.deviation.meanHeldMs();
        },
    };
};
