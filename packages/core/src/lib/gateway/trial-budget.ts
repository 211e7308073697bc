/** Bounds in time the connections that an entry host opens only to find out whether it reaches servers, whatever they show. */

/** Trial connections that a host may open. Times are in milliseconds of the host's clock. */
export interface TrialBudget {
    /** Takes one connection out of the budget; returns `false` if none is left. */
    tryTake(now: number): boolean;
}

/** Size of a budget. */
export interface TrialBudgetCfg {
    /** Connections that a host may open at once. */
    burst: number;
    /** Further connections a second. */
    ratePerS: number;
}

/** Enough to tell a lost path from a failed server. */
const pathTrials: TrialBudgetCfg = { burst: 5, ratePerS: 0.8 };
const msPerSecond = 1000;

/** Creates a full budget. Pattern: token bucket. */
export const createTrialBudget = ({ burst, ratePerS }: TrialBudgetCfg = pathTrials): TrialBudget => {
    let tokens = burst;
    let updatedAt = -Infinity;
    return {
        tryTake: now => {
            tokens = Math.min(burst, tokens + ratePerS * (now - updatedAt) / msPerSecond);
            updatedAt = now;
            if (tokens < 1) {
                return false;
            }
            tokens -= 1;
            return true;
        },
    };
};
