import { createHostRetryBudget } from "../index.js";
import type { HostRetryBudget, RetryBound } from "../index.js";

/** Creates the budget of a host that has run for a while at time 0, in a fleet of `hostCount` hosts. */
export const createSettledRetryBudget = (bound: RetryBound, hostCount: number): HostRetryBudget => {
    const budget = createHostRetryBudget(bound, -bound.windowMs);
    budget.setHostCount(hostCount);
    return budget;
};
