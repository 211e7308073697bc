/** Divides the time limit of a graceful stop between accepting requests and finishing them. */

/** Times since the stop began, in milliseconds. */
export interface StopSchedule {
    /** Until then requests are accepted, since callers cache addresses; later ones are refused. */
    acceptUntilMs: number;
    /** Until then requests that were accepted are sent to servers for the first time; those that still wait are refused. */
    sendUntilMs: number;
    /** Until then requests may be finished. */
    finishUntilMs: number;
}

/** Most of the time limit for which requests are accepted, as a fraction and in milliseconds: one that is accepted later must be finished. */
const acceptFraction = 0.6;
const maxAcceptMs = 2800;
/** The part of the time after that in which waiting requests are still sent: most servers answer in the rest. */
const sendFraction = 0.4;
/** The end of the time limit that is reserved for sending the last answers, in milliseconds. */
const answerFlushMs = 500;

/** Returns the schedule of a stop that must end within `stopWithinMs`. */
export const stopSchedule = (stopWithinMs: number): StopSchedule => {
    const acceptUntilMs = Math.min(maxAcceptMs, acceptFraction * stopWithinMs);
    const finishUntilMs = stopWithinMs - answerFlushMs;
    return { acceptUntilMs, sendUntilMs: acceptUntilMs + sendFraction * (finishUntilMs - acceptUntilMs), finishUntilMs };
};
