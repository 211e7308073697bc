/** Tells a queue that stands, because more is asked than can be served, from a burst that passes. */

/** Watches one queue. Times are in milliseconds. */
export interface StandingQueue {
    /** Takes the size of the queue as it is now. */
    observe(size: number, now: number): void;
    stands(): boolean;
}

/** A queue that was never empty for so long is no burst. */
const standsAfterMs = 4000;

/** It no longer stands once it stays empty for so long. */
const endsAfterMs = 200;

/** Creates the watch of an empty queue. */
export const createStandingQueue = (): StandingQueue => {
    let isEmpty = true;
    let changedAt = 0;
    let stands = false;

    const observe = (size: number, now: number): void => {
        const lastedMs = now - changedAt;
        if (isEmpty && lastedMs > endsAfterMs) {
            stands = false;
        }
        if (!isEmpty && lastedMs > standsAfterMs) {
            stands = true;
        }
        if (isEmpty !== (size === 0)) {
            isEmpty = size === 0;
            changedAt = now;
        }
    };

    return { observe, stands: () => stands };
};
