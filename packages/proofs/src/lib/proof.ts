/** Defines a proof: it runs the same random cases against a naive implementation and against cassiapick. */

/** The counts of one proof. */
export interface ProofResult {
    /** The number of cases that were run. */
    cases: number;
    /** The number of cases in which the naive implementation broke the guarantee. */
    naiveViolated: number;
    /** The number of cases in which cassiapick broke the guarantee. */
    cassiapickViolated: number;
    /** Lines to print, about the first violations and about what the cases covered. */
    notes: string[];
}

/** Options of a {@link Proof}. */
export interface ProofOptions {
    seed: number;
}

/** Generates its cases from the seed and runs both implementations on them. */
export type Proof = (options: ProofOptions) => Promise<ProofResult>;

/** Whether the proof holds: the naive implementation breaks the guarantee in some case, cassiapick in none. */
export const proofHolds = (result: ProofResult): boolean => result.naiveViolated > 0 && result.cassiapickViolated === 0;

/** Formats the counts as the last line that a proof prints. */
export const renderResult = (name: string, result: ProofResult): string =>
    `${name}: naive violated ${result.naiveViolated} of ${result.cases}, cassiapick violated ${result.cassiapickViolated} of ${result.cases}`;
