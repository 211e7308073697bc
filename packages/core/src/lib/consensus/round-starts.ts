/** When a leader's latest heartbeat rounds were started: a reply confirms the leader as of that time, however long it took. */

/** The starts of one term's rounds. */
export interface RoundStarts {
    /** Forgets all rounds, at the start of a term. */
    clear(): void;
    /** Records the start of a round at `now`, in milliseconds. */
    record(round: number, now: number): void;
    /** When `round` was started; `-Infinity` if it was before the rounds that are kept. */
    startOf(round: number): number;
}

/** Rounds whose starts are kept; a reply to an earlier one confirms nothing. */
const maxRounds = 64;

/** Creates the starts of a leader without rounds. */
export const createRoundStarts = (): RoundStarts => {
    let starts: { round: number; at: number; }[] = [];
    return {
        clear: () => {
            starts = [];
        },
        record: (round, now) => {
            starts = [...starts.slice(1 - maxRounds), { round, at: now }];
        },
        startOf: round => starts.findLast(start => start.round <= round)?.at ?? -Infinity,
    };
};
