/** The failure of a server that a request keeps while it is sent again, to be delivered if no other attempt succeeds. */
import type { ServerAnswer } from "./http-call.js";

/** The latest answer of one request. The rest of a long body takes a connection until it is delivered or dropped. */
export interface KeptAnswer {
    /** Keeps an answer in place of the one before. */
    keep(answer: ServerAnswer): void;
    /** Returns the answer; `undefined` if there is none, or if the rest of its body has broken off. */
    usable(): ServerAnswer | undefined;
    /** Drops all answers but the one that is delivered, also those that arrive later. */
    settle(delivered: ServerAnswer | undefined): void;
}

/** Creates the record of a request without an answer. */
export const createKeptAnswer = (): KeptAnswer => {
    let kept: ServerAnswer | undefined;
    let isSettled = false;

    const replace = (answer: ServerAnswer | undefined): void => {
        if (kept !== answer) {
            kept?.stream?.destroy();
        }
        kept = answer;
    };

    return {
        keep: answer => {
            if (isSettled) {
                answer.stream?.destroy();
                return;
            }
            replace(answer);
        },
        usable: () => kept?.stream?.destroyed === true ? undefined : kept,
        settle: delivered => {
            isSettled = true;
            replace(delivered);
        },
    };
};
