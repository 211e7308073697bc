/**
 * A proof is a seeded randomised test of one guarantee, not a formal proof. It runs the same generated cases against a
 * naive implementation and against cassiapick's, and counts the cases in which each breaks the guarantee.
 */

/** The counts of one proof. */
export interface ProofResult {
    /** The number of cases that were run. */
    cases: number;
    /** The number of cases in which the naive implementation broke the guarantee. */
    naiveViolations: number;
    /** The number of cases in which cassiapick broke the guarantee. */
    cassiapickViolations: number;
    /** Lines to print, about the first violations and about what the cases covered. */
    notes: string[];
}

/** Options of a {@link Proof}. */
export interface ProofOptions {
    /** Seed of the random generator; the same seed generates the same cases. */
    seed: number;
}

/** Runs the naive implementation and cassiapick's on cases generated from the seed. */
export type Proof = (options: ProofOptions) => Promise<ProofResult>;

/** Whether the proof holds: the naive implementation breaks the guarantee in some case, cassiapick in none. */
export const proofHolds = (result: ProofResult): boolean => result.naiveViolations > 0 && result.cassiapickViolations === 0;

/** Formats the counts as the last line that a proof prints. */
export const renderResult = (name: string, result: ProofResult): string =>
    `${name}: naive violated ${result.naiveViolations} of ${result.cases}, cassiapick violated ${result.cassiapickViolations} of ${result.cases}`;
