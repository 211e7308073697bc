/** Distinguishes a standing queue, which does not empty because demand exceeds capacity, from a short burst. */

/** Detects whether one queue is a standing queue. Times are in milliseconds. */
export interface StandingQueueDetector {
    /** Records the current size of the queue. Called regularly, since the state changes only here. */
    observe(size: number, now: number): void;
    /** Whether it was a standing queue at the last `observe`. */
    isStanding(): boolean;
}

/** A queue becomes a standing queue once it has been non-empty without a break for longer than this. */
const minNonEmptyMs = 4000;

/** It stops being one once it has been empty without a break for longer than this. */
const minEmptyMs = 200;

/** Creates the detector of a queue that is empty at first. */
export const createStandingQueueDetector = (): StandingQueueDetector => {
    let isEmpty = true;
    let emptinessChangedAt = 0;
    let isStanding = false;

    const observe = (size: number, now: number): void => {
        const emptinessUnchangedMs = now - emptinessChangedAt;
        if (isEmpty && emptinessUnchangedMs > minEmptyMs) {
            isStanding = false;
        }
        if (!isEmpty && emptinessUnchangedMs > minNonEmptyMs) {
            isStanding = true;
        }
        if (isEmpty !== (size === 0)) {
            isEmpty = size === 0;
            emptinessChangedAt = now;
        }
    };

    return { observe, isStanding: () => isStanding };
};
