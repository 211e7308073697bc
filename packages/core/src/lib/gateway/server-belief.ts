/** How likely it is that a backend server fails the next request, from the outcomes of few requests. */

/** How beliefs are formed. The defaults come from `npm run measure -- gateway` with the sites' loads. */
export interface BeliefCfg {
    /** Share of servers that fail at a time; what is believed of a server that is not tried drifts to it. */
    prior: number;
    /** Time constants of the drift in milliseconds: of a server that failed, and of one that served. */
    forgetFailureMs: number;
    forgetSuccessMs: number;
}

/** The beliefs that are used. */
export const defaultBeliefCfg: BeliefCfg = { prior: 0.15, forgetFailureMs: 6500, forgetSuccessMs: 2800 };

/** How often a failing and a sound server yield each sign. */
const likelihoods = {
    success: { failing: 0.3, sound: 0.985 },
    failure: { failing: 0.7, sound: 0.015 },
    /** A request that waits far longer than usual. */
    stuck: { failing: 0.5, sound: 0.05 },
} as const;

export enum Sign {
    Success = "success",
    Failure = "failure",
    Stuck = "stuck",
}

/** What is believed of one server at a moment. */
export interface Belief {
    /** Probability that it is failing, from 0 to 1. */
    failing: number;
    /** When it was last updated, in milliseconds. */
    at: number;
}

/** The belief about a server that nothing is known of. */
export const unknownBelief = (now: number, cfg: BeliefCfg): Belief => ({ failing: cfg.prior, at: now });

/** The belief after time has passed without a sign. */
export const beliefAt = (belief: Belief, now: number, cfg: BeliefCfg): number => {
    const timeMs = belief.failing > cfg.prior ? cfg.forgetFailureMs : cfg.forgetSuccessMs;
    return cfg.prior + (belief.failing - cfg.prior) * Math.exp(-Math.max(0, now - belief.at) / timeMs);
};

/** The belief after one sign. */
export const updateBelief = (belief: Belief, sign: Sign, now: number, cfg: BeliefCfg): Belief => {
    const failing = beliefAt(belief, now, cfg);
    const { failing: ifFailing, sound: ifSound } = likelihoods[sign];
    const weight = failing * ifFailing;
    return { failing: weight / (weight + (1 - failing) * ifSound), at: Math.max(now, belief.at) };
};
