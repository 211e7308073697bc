/** Tells when a service fails so many requests that its idle servers should be tried again soon. */
import { Sign } from "./server-belief.js";

/** Recent outcomes of the services. */
export interface ServiceTrouble {
    /** An outcome in the own availability zone. */
    note(service: string, sign: Sign, now: number): void;
    /** Failures in other availability zones; of successes there nothing is told. */
    noteElsewhere(service: string, failures: number, now: number): void;
    /** Whether a service fails too many of its requests, in the own availability zone or in all together. */
    isTroubled(service: string, now: number): boolean;
}

/** Outcomes fade with this time constant, in milliseconds. */
const fadeMs = 3000;
/** Share of failures above which idle servers are tried: below the tenth at which operators expect wide use. */
const troubledShare = 0.085;
/** With fewer failures than this, chance would look like trouble: an availability zone sees a few requests a second. */
const leastFailures = 2.5;

interface Tally {
    failures: number;
    outcomes: number;
    elsewhere: number;
    at: number;
}

/** Creates an empty record; `zones` is the number of availability zones, which are taken to have like loads. */
export const createServiceTrouble = (zones: number): ServiceTrouble => {
    const tallies = new Map<string, Tally>();

    const faded = (service: string, now: number): Tally => {
        const tally = tallies.get(service) ?? { failures: 0, outcomes: 0, elsewhere: 0, at: now };
        const kept = Math.exp(-Math.max(0, now - tally.at) / fadeMs);
        tally.failures *= kept;
        tally.outcomes *= kept;
        tally.elsewhere *= kept;
        tally.at = now;
        tallies.set(service, tally);
        return tally;
    };

    return {
        note: (service, sign, now) => {
            const tally = faded(service, now);
            tally.outcomes += 1;
            tally.failures += sign === Sign.Success ? 0 : 1;
        },
        noteElsewhere: (service, failures, now) => {
            faded(service, now).elsewhere += failures;
        },
        isTroubled: (service, now) => {
            const { failures, outcomes, elsewhere } = faded(service, now);
            const exceeds = (count: number, among: number): boolean => count >= leastFailures && count > troubledShare * among;
            return exceeds(failures, outcomes) || exceeds(failures + elsewhere, outcomes * zones);
        },
    };
};
