/** Holds the retries and hedges that one request was granted until their attempts start. */
import type { HostRetryBudget, RetryGrant } from "./host-retry-budget.js";

/** The grants of one request. */
export interface RetryGrants {
    /** Takes a retry out of the budget of the host; returns whether one was left. */
    tryTakeRetry: () => boolean;
    /** Takes a hedge out of the budget of the host; returns whether one was left. */
    tryTakeHedge: () => boolean;
    /** Counts the grant of an attempt that starts, if it has one: the first attempt and one after `NotSent` need none. */
    attemptStarted: () => void;
    /** Returns the grants whose attempts won't start. */
    close: () => void;
}

/** Creates the grants of a request to `service`. */
export const createRetryGrants = (budget: HostRetryBudget, service: string, clock: () => number): RetryGrants => {
    const unused: RetryGrant[] = [];

    const keep = (grant: RetryGrant | undefined): boolean => {
        if (grant === undefined) {
            return false;
        }
        unused.push(grant);
        return true;
    };

    return {
        tryTakeRetry: () => keep(budget.tryTake(service, clock())),
        tryTakeHedge: () => keep(budget.tryTakeHedge(service, clock())),
        attemptStarted: () => unused.shift()?.use(clock()),
        close: () => unused.splice(0).forEach(grant => grant.giveBack()),
    };
};
