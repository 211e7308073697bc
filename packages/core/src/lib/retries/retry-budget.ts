/** Limits retries and hedges to a share of the requests, so that a failing pool isn't given several times its load. */

/** The retry budget of one pool. Times are in milliseconds. */
export interface RetryBudget {
    /** A new request arrived and earns its share of a token. */
    earn(now: number): void;
    /** Spends tokens; false, and nothing is spent, when too few are left. */
    spend(tokens: number, now: number): boolean;
    has(tokens: number): boolean;
}

/** Tokens that one request earns: a tenth of the requests may be tried twice. */
const tokensPerRequest = 0.1;

/** Tokens earned without any request, so that a quiet pool can retry. */
const tokensPerSecond = 1;

const maxTokens = 20;
const msPerSecond = 1000;

/** Creates a full budget. */
export const createRetryBudget = (): RetryBudget => {
    let tokens = maxTokens;
    let refilledAt: number | undefined;

    const add = (amount: number): void => {
        tokens = Math.min(maxTokens, tokens + amount);
    };

    const refill = (now: number): void => {
        const elapsedMs = Math.max(0, now - (refilledAt ?? now));
        add(elapsedMs / msPerSecond * tokensPerSecond);
        refilledAt = now;
    };

    const earn = (now: number): void => {
        refill(now);
        add(tokensPerRequest);
    };

    const spend = (wanted: number, now: number): boolean => {
        refill(now);
        if (tokens < wanted) {
            return false;
        }
        tokens -= wanted;
        return true;
    };

    return { earn, spend, has: wanted => tokens >= wanted };
};
