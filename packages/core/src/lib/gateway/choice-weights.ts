/** What the choice of a backend server weighs, in one unit: the share of a request's worth that is expected to be lost. */
import { Repeatability } from "./gateway-config.js";
import { defaultBeliefCfg } from "./server-belief.js";
import type { BeliefCfg } from "./server-belief.js";

/** The weights of the choice. The defaults come from `npm run measure -- gateway` with the sites' loads. */
export interface ChoiceWeights {
    /** By distance, since bytes between availability zones and regions are billed. */
    zone: number;
    region: number;
    elsewhere: number;
    /** A failed request; one that may be repeated costs time and one repeat. */
    failure: Readonly<Record<Repeatability, number>>;
    /** Servers less likely to fail than this are equally good, or all hosts would take the best one at the same time. */
    soundEnough: number;
    /** The share of slots that are taken. */
    load: number;
    /** Waiting for one whole turn of a slot. */
    wait: number;
    /** Taking the last free slot: some servers slow down when nearly full. */
    nearlyFull: number;
    /** What trying an idle server is worth while its service fails many requests, or when it is new. */
    trial: number;
    /** A server that has just started and is slow. */
    cold: number;
    /** A server whose announcements have stopped: cut off, or crashed. */
    silent: number;
    /** Most of a random part that spreads equal choices of many hosts. */
    jitter: number;
    /** Requests beyond its slots that a server is given; it queues a few more before it declines. */
    queueBeyondSlots: number;
    belief: BeliefCfg;
}

/** The weights that are used. */
export const defaultChoiceWeights: ChoiceWeights = {
    zone: 0,
    region: 0.05,
    elsewhere: 0.12,
    failure: { [Repeatability.Repeatable]: 0.4, [Repeatability.AtMostOnce]: 1 },
    soundEnough: 0.02,
    load: 0.02,
    wait: 1.5,
    nearlyFull: 0.03,
    trial: 0.6,
    cold: 0.12,
    silent: 0.3,
    jitter: 0.02,
    queueBeyondSlots: 9,
    belief: defaultBeliefCfg,
};
