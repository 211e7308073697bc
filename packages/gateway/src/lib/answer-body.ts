/** Forwards the body of an answer whose head has been written. */
import type { ServerResponse } from "node:http";
import type { ServerAnswer } from "./http-call.js";

/**
 * Writes the body of `answer` to `res` and ends it. A truncated body must not look complete, so `res` is destroyed when the rest
 * of the body breaks off.
 */
export const forwardBody = (res: ServerResponse, answer: ServerAnswer): void => {
    const { stream } = answer;
    if (stream === undefined) {
        res.end(answer.body);
        return;
    }
    res.write(answer.body);
    stream.on("error", () => res.destroy());
    stream.on("end", () => {
        if (answer.isComplete?.() === true) {
            res.end();
        }
        else {
            res.destroy();
        }
    });
    stream.on("close", () => {
        if (!stream.complete) {
            res.destroy();
        }
    });
    res.on("close", () => stream.destroy());
    stream.pipe(res, { end: false });
};
