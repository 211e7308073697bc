/** Distinguishes a standing queue, where demand exceeds capacity, from a passing burst. */

/** Detects whether one queue is a standing queue. Times are in milliseconds. */
export interface StandingQueueDetector {
    /** Records the current size of the queue. */
    observe(size: number, now: number): void;
    /** Whether the queue is a standing queue. */
    isStanding(): boolean;
}

/** A queue that has not been empty for longer than this is a standing queue. */
const standingAfterMs = 4000;

/** A standing queue ends once it has been empty for longer than this. */
const standingEndsAfterMs = 200;

/** Creates the detector of an empty queue. */
export const createStandingQueueDetector = (): StandingQueueDetector => {
    let isEmpty = true;
    let changedAt = 0;
    let isStanding = false;

    const observe = (size: number, now: number): void => {
        const unchangedMs = now - changedAt;
        if (isEmpty && unchangedMs > standingEndsAfterMs) {
            isStanding = false;
        }
        if (!isEmpty && unchangedMs > standingAfterMs) {
            isStanding = true;
        }
        if (isEmpty !== (size === 0)) {
            isEmpty = size === 0;
            changedAt = now;
        }
    };

    return { observe, isStanding: () => isStanding };
};
