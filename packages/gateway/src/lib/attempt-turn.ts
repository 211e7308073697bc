/** Waits for the turn of a request's attempt, so that a request which may end servers has one attempt at a time over the fleet. */
import { turnPollMs, TurnState } from "@cassiapick/core";
import type { RequestQuarantine, Turn } from "@cassiapick/core";

/** Options of {@link createAttemptTurns}. */
export interface AttemptTurnsOptions {
    quarantine: RequestQuarantine;
    requestKey: string;
    deadlineAt: number;
    clock: () => number;
    /** Calls back after a delay unless the request ends before. */
    schedule: (delayMs: number, callback: () => void) => void;
}

/** The turns of one request. */
export interface AttemptTurns {
    /** Calls `start` with the turn, at once or later, or `deny` if the request is quarantined. */
    take(start: (turn: Turn) => void, deny: () => void): void;
    /** Ends a turn once nothing is left to learn from its attempt. */
    end(turn: Turn): void;
    /** Gives up the turn that is still waited for. */
    cancel(): void;
}

/** Creates the turns of a request without attempts. */
export const createAttemptTurns = (options: AttemptTurnsOptions): AttemptTurns => {
    const { quarantine, clock, schedule } = options;
    let waiting: Turn | undefined;

    const end = (turn: Turn): void => quarantine.endTurn(turn, clock());

    return {
        take: (start, deny) => {
            const turn = quarantine.takeTurn(options.requestKey, options.deadlineAt, clock());
            waiting = turn;
            const poll = (): void => {
                const state = quarantine.turnState(turn, clock());
                if (state === TurnState.Waiting) {
                    schedule(turnPollMs, poll);
                    return;
                }
                waiting = undefined;
                if (state === TurnState.Granted) {
                    start(turn);
                    return;
                }
                end(turn);
                deny();
            };
            poll();
        },
        end,
        cancel: () => {
            if (waiting !== undefined) {
                end(waiting);
                waiting = undefined;
            }
        },
    };
};
