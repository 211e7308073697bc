/** Limits retries and hedges to a share of the requests, so that retries don't multiply the load of a failing pool. */

/** The retry budget of one pool. Times are in milliseconds. */
export interface RetryBudget {
    /** Adds the share of a token that each new request brings. */
    deposit(now: number): void;
    /** Withdraws tokens; returns false and withdraws none when too few are left. */
    tryWithdraw(tokens: number, now: number): boolean;
    hasTokens(tokens: number): boolean;
}

/** Tokens added per request: a tenth of the requests may be retried once. */
const tokensPerRequest = 0.1;

/** Tokens added per second without any request, so that an idle pool can retry. */
const tokensPerSecond = 1;

const maxTokens = 20;
const msPerSecond = 1000;

/** Creates a full budget. */
export const createRetryBudget = (): RetryBudget => {
    let tokens = maxTokens;
    let refilledAt: number | undefined;

    const addTokens = (amount: number): void => {
        tokens = Math.min(maxTokens, tokens + amount);
    };

    const refill = (now: number): void => {
        const elapsedMs = Math.max(0, now - (refilledAt ?? now));
        addTokens(elapsedMs / msPerSecond * tokensPerSecond);
        refilledAt = now;
    };

    const deposit = (now: number): void => {
        refill(now);
        addTokens(tokensPerRequest);
    };

    const tryWithdraw = (requested: number, now: number): boolean => {
        refill(now);
        if (tokens < requested) {
            return false;
        }
        tokens -= requested;
        return true;
    };

    return { deposit, tryWithdraw, hasTokens: requested => tokens >= requested };
};
