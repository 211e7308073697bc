import { createHostRetryBudget } from "../index.js";
import type { HostRetryBudget, Random, RetryBound } from "../index.js";

/** The bound of a fleet of 36 hosts. */
export const testRetryBound: RetryBound = { ratio: 0.2, reserve: 58, windowMs: 10_000 };

/** Creates the budget of a host that has run for a while at time 0, in a fleet of `hostCount` hosts. */
export const createSettledRetryBudget = (bound: RetryBound, hostCount: number, random: Random): HostRetryBudget => {
    const budget = createHostRetryBudget(bound, -bound.windowMs, random);
    budget.setHostCount(hostCount);
    return budget;
};

/** Sends one retry if the budget allows it. */
export const sendRetry = (budget: HostRetryBudget, service: string, now: number): boolean => {
    const grant = budget.tryTake(service, now);
    grant?.use(now);
    return grant !== undefined;
};

/** Sends one hedge if the budget allows it. */
export const sendHedge = (budget: HostRetryBudget, service: string, now: number): boolean => {
    const grant = budget.tryTakeHedge(service, now);
    grant?.use(now);
    return grant !== undefined;
};
