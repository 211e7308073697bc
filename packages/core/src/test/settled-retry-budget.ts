import { createHostRetryBudget } from "../index.js";
import type { HostRetryBudget, RetryBound } from "../index.js";

/** Creates the budget of a host that has run for a while at time 0, in a fleet of `hostCount` hosts. */
export const createSettledRetryBudget = (bound: RetryBound, hostCount: number): HostRetryBudget => {
    const budget = createHostRetryBudget(bound, -bound.windowMs);
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
