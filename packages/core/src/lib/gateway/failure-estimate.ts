/** Estimates the probability that a backend server is unhealthy, by Bayesian updates from the outcomes of few requests. */

/** Parameters of the estimate. `npm run measure -- gateway` simulates their effect under the sites' loads. */
export interface FailureEstimateCfg {
    /** Share of servers that are unhealthy at a time; the estimate of a server without requests decays towards it. */
    prior: number;
    /** Time constants of the decay from above and from below `prior`, in milliseconds. */
    failureDecayMs: number;
    successDecayMs: number;
}

/** Default parameters. */
export const defaultFailureEstimateCfg: FailureEstimateCfg = { prior: 0.15, failureDecayMs: 6500, successDecayMs: 2800 };

/** Probability of each observation, of an unhealthy and of a healthy server. */
const likelihoods = {
    success: { unhealthy: 0.3, healthy: 0.985 },
    failure: { unhealthy: 0.7, healthy: 0.015 },
    declined: { unhealthy: 0.5, healthy: 0.05 },
} as const;

/** Evidence about a server's health. */
export enum ServerObservation {
    Success = "success",
    Failure = "failure",
    /** The server declined a request, as one with a long queue does. */
    Declined = "declined",
}

/** Estimated failure probability of one server. */
export interface FailureEstimate {
    /** Probability that the server is unhealthy, from 0 to 1. */
    probability: number;
    /** Time of the last update, in milliseconds of the host's clock. */
    updatedAt: number;
}

/** Returns the estimate of a server without observations. */
export const initialFailureEstimate = (now: number, cfg: FailureEstimateCfg): FailureEstimate => ({
    probability: cfg.prior,
    updatedAt: now,
});

/** Returns the probability at `now`, decayed towards the prior since the last observation. */
export const failureProbabilityAt = (estimate: FailureEstimate, now: number, cfg: FailureEstimateCfg): number => {
    const decayMs = estimate.probability > cfg.prior ? cfg.failureDecayMs : cfg.successDecayMs;
    return cfg.prior + (estimate.probability - cfg.prior) * Math.exp(-Math.max(0, now - estimate.updatedAt) / decayMs);
};

/** Returns a probability after evidence that the server is unhealthy, in nats (log-likelihood ratio). */
export const withEvidence = (probability: number, nats: number): number => {
    const ratio = Math.exp(nats);
    return probability * ratio / (probability * ratio + 1 - probability);
};

/** Returns the estimate after evidence that the server is unhealthy, in nats; negative evidence speaks for its health. */
export const addFailureEvidence = (
    estimate: FailureEstimate,
    nats: number,
    now: number,
    cfg: FailureEstimateCfg,
): FailureEstimate => ({
    probability: withEvidence(failureProbabilityAt(estimate, now, cfg), nats),
    updatedAt: Math.max(now, estimate.updatedAt),
});

/** Returns the estimate after one more observation. */
export const updateFailureEstimate = (
    estimate: FailureEstimate,
    observation: ServerObservation,
    now: number,
    cfg: FailureEstimateCfg,
): FailureEstimate => {
    const { unhealthy, healthy } = likelihoods[observation];
    return addFailureEvidence(estimate, Math.log(unhealthy / healthy), now, cfg);
};
