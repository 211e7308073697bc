/** Divides the time limit of a graceful stop between accepting requests and finishing them. */

/** Times since the stop began, in milliseconds. */
export interface StopSchedule {
    /** Until then requests are accepted, since callers cache addresses; later ones are refused. */
    acceptUntilMs: number;
    /** Until then requests may be finished. */
    finishUntilMs: number;
}

/** Most of the time limit for which requests are accepted, as a fraction and in milliseconds: one that is accepted later must be finished. */
const acceptFraction = 0.6;
const maxAcceptMs = 2800;
/** The end of the time limit that is reserved for sending the last answers, in milliseconds. */
const answerFlushMs = 500;

/** Returns the schedule of a stop that must end within `stopWithinMs`. */
export const stopSchedule = (stopWithinMs: number): StopSchedule => ({
    acceptUntilMs: Math.min(maxAcceptMs, acceptFraction * stopWithinMs),
    finishUntilMs: stopWithinMs - answerFlushMs,
});
