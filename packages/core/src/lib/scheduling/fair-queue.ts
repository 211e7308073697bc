/** A bounded queue that is fair between brands: deficit round robin with a quantum and a cost of one request. */

/** An attempt that waits for a slot. Times are in milliseconds. */
export interface WaitingAttempt {
    attemptId: string;
    brand: string;
    /** When it is refused if it still waits; well before its deadline, so that the caller can still retry. */
    refuseAt: number;
    exclude: readonly string[];
    allowExcluded: boolean;
}

/** A waiting attempt and the result of its match. */
export interface Match<T> {
    waiting: WaitingAttempt;
    matched: T;
}

/** A fair queue with one FIFO queue per brand. */
export interface FairQueue {
    /** Whether there is room for one more attempt of the brand. */
    hasRoom(brand: string): boolean;
    push(waiting: WaitingAttempt): void;
    /** Removes a waiting attempt; returns false when it does not wait. */
    remove(attemptId: string): boolean;
    /** Removes and returns the attempts whose `refuseAt` has passed. */
    expire(now: number): WaitingAttempt[];
    /** Removes and returns the attempts for which `shouldRemove` returns true. */
    removeIf(shouldRemove: (waiting: WaitingAttempt) => boolean): WaitingAttempt[];
    /** Removes the first attempt, in round-robin order, for which `match` returns a result. */
    takeFirst<T>(match: (waiting: WaitingAttempt) => T | undefined): Match<T> | undefined;
    /** The number of attempts that get a slot before a new one of the brand. */
    aheadOf(brand: string): number;
    /** A lower bound of the next `refuseAt`; `undefined` when no attempt waits. */
    nextRefusalAt(): number | undefined;
    size(): number;
}

/** How many attempts of one brand are tried when the first ones exclude every free member. */
const brandScanLimit = 4;

/** Creates an empty queue of at most `limit` attempts. */
export const createFairQueue = (limit: number): FairQueue => {
    // The key order is the round-robin order: a brand that had its turn is inserted again at the end.
    const brandQueues = new Map<string, WaitingAttempt[]>();
    let size = 0;
    // A lower bound: it is recomputed only when its time has come, since a scan of all attempts on each step costs too much.
    let nextRefusalAt = Infinity;

    const brandQueueLength = (brand: string): number => brandQueues.get(brand)?.length ?? 0;

    // A brand may hold as many places as are still free, so that one brand alone never takes more than half of the queue.
    const hasRoom = (brand: string): boolean => size < limit && brandQueueLength(brand) < Math.max(1, limit - size);

    const push = (waiting: WaitingAttempt): void => {
        const brandQueue = brandQueues.get(waiting.brand);
        if (brandQueue === undefined) {
            brandQueues.set(waiting.brand, [waiting]);
        }
        else {
            brandQueue.push(waiting);
        }
        size += 1;
        nextRefusalAt = Math.min(nextRefusalAt, waiting.refuseAt);
    };

    const removeFrom = (brand: string, brandQueue: WaitingAttempt[], index: number): void => {
        brandQueue.splice(index, 1);
        size -= 1;
        if (brandQueue.length === 0) {
            brandQueues.delete(brand);
        }
    };

    const remove = (attemptId: string): boolean => {
        for (const [brand, brandQueue] of brandQueues) {
            const index = brandQueue.findIndex(waiting => waiting.attemptId === attemptId);
            if (index >= 0) {
                removeFrom(brand, brandQueue, index);
                return true;
            }
        }
        return false;
    };

    const allWaiting = (): WaitingAttempt[] => [...brandQueues.values()].flat();

    const removeIf = (shouldRemove: (waiting: WaitingAttempt) => boolean): WaitingAttempt[] => {
        const removed = allWaiting().filter(shouldRemove);
        for (const waiting of removed) {
            remove(waiting.attemptId);
        }
        nextRefusalAt = allWaiting().reduce((earliest, waiting) => Math.min(earliest, waiting.refuseAt), Infinity);
        return removed;
    };

    const expire = (now: number): WaitingAttempt[] => now < nextRefusalAt ? [] : removeIf(waiting => waiting.refuseAt <= now);

    const takeFirst = <T>(match: (waiting: WaitingAttempt) => T | undefined): Match<T> | undefined => {
        for (const [brand, brandQueue] of brandQueues) {
            for (const [index, waiting] of brandQueue.slice(0, brandScanLimit).entries()) {
                const matched = match(waiting);
                if (matched !== undefined) {
                    removeFrom(brand, brandQueue, index);
                    moveToLastTurn(brand, brandQueue);
                    return { waiting, matched };
                }
            }
        }
        return undefined;
    };

    const moveToLastTurn = (brand: string, brandQueue: WaitingAttempt[]): void => {
        if (brandQueue.length > 0) {
            brandQueues.delete(brand);
            brandQueues.set(brand, brandQueue);
        }
    };

    const aheadOf = (brand: string): number => {
        const ownLength = brandQueueLength(brand);
        let ahead = ownLength;
        for (const [otherBrand, brandQueue] of brandQueues) {
            ahead += otherBrand === brand ? 0 : Math.min(brandQueue.length, ownLength + 1);
        }
        return ahead;
    };

    return {
        hasRoom,
        push,
        remove,
        expire,
        removeIf,
        takeFirst,
        aheadOf,
        nextRefusalAt: () => size === 0 ? undefined : nextRefusalAt,
        size: () => size,
    };
};
