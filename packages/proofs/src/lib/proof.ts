/** What a proof is: the same drawn cases run against the naive version and ours. */

/** What one proof counted. */
export interface ProofResult {
    /** Cases drawn from the seed. */
    cases: number;
    /** Cases in which the naive version broke the promise. */
    naiveViolated: number;
    /** Cases in which cassiapick broke the promise. */
    ownViolated: number;
    /** A few lines about the first violations, for the reader. */
    notes: string[];
}

/** Options of a proof. */
export interface ProofOptions {
    seed: number;
}

/** Draws its cases from the seed and runs both versions with fake time. */
export type Proof = (options: ProofOptions) => Promise<ProofResult>;

/** Whether the proof holds: the naive version fails and ours never does. */
export const holds = (result: ProofResult): boolean => result.naiveViolated > 0 && result.ownViolated === 0;

/** The last line of a proof. */
export const renderResult = (name: string, result: ProofResult): string =>
    `${name}: naive violated ${result.naiveViolated} of ${result.cases}, cassiapick violated ${result.ownViolated} of ${result.cases}`;
