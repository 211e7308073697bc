/** The arithmetic of quotas: which tokens all hosts together may hand out. */
import type { Workspace } from "../gateway/gateway-config.js";

/** How far the requests of a workspace may exceed its quota in a window. */
export interface QuotaBound {
    windowMs: number;
    /** Share of the quota of a window. */
    overage: number;
    /** Requests in a window. */
    slack: number;
}

/** The bound where the settings name none. */
export const defaultQuotaBound: QuotaBound = { windowMs: 5000, overage: 0.1, slack: 20 };

/** What all hosts together may hand out. */
export interface QuotaAmount {
    /** Tokens a second. */
    ratePerS: number;
    /** Most tokens that wait in buckets or in hosts. */
    capacity: number;
    /** Tokens in the buckets of hosts that have no shares yet, or have lost them; what they handed out before is unknown. */
    initial: number;
}

/** A token may come back this long after it was spent, for a request that was not sent; in milliseconds. */
export const giveBackMs = 200;
/** Part of the overage by which tokens are handed out faster than the rate, which makes up for tokens that are lost. */
const rateShareOfOverage = 0.6;
/** Part of the slack that is there at once when all state hosts have lost their shares. */
const initialShareOfSlack = 0;

/** Most requests of a workspace in a window, by the rule. */
export const quotaWindowLimit = (ratePerS: number, burst: number, { windowMs, overage, slack }: QuotaBound): number =>
    (ratePerS * windowMs / 1000 + burst) * (1 + overage) + slack;

/**
 * The tokens of a workspace; `undefined` without a quota. In a window the hosts spend at most the capacity, what flows in
 * during the window, what comes back of requests that were sent before it, and what state hosts start with that have lost
 * their shares: together the limit of the window.
 */
export const quotaAmount = (
    { ratePerS, burst }: Pick<Workspace, "ratePerS" | "burst">,
    bound: QuotaBound,
): QuotaAmount | undefined => {
    if (ratePerS === undefined || ratePerS <= 0) {
        return undefined;
    }
    const tokensPerS = ratePerS * (1 + rateShareOfOverage * bound.overage);
    const flow = tokensPerS * bound.windowMs / 1000 + ratePerS * giveBackMs / 1000;
    const initial = bound.slack * initialShareOfSlack;
    const capacity = Math.max(1, quotaWindowLimit(ratePerS, burst, bound) - flow - initial);
    return { ratePerS: tokensPerS, capacity, initial: Math.min(initial, capacity) };
};

/** The quotas of a configuration, by the name of the workspace, in the order of the configuration. */
export const quotaAmounts = (workspaces: readonly Workspace[] | undefined, bound: QuotaBound): Map<string, QuotaAmount> =>
    new Map((workspaces ?? []).flatMap(workspace => {
        const amount = quotaAmount(workspace, bound);
        return amount === undefined ? [] : [[workspace.name, amount] as const];
    }));
