/** A bounded queue that gives each brand its turn: deficit round robin with a quantum and a cost of one request. */

/** An attempt that waits for a slot. Times are in milliseconds. */
export interface Waiting {
    attemptId: string;
    brand: string;
    /** When it is refused if it still waits; well before its deadline, so that the caller can still ask again. */
    refuseAt: number;
    exclude: readonly string[];
    allowExcluded: boolean;
}

/** A waiting attempt together with what it was matched with. */
export interface Match<T> {
    waiting: Waiting;
    found: T;
}

/** A queue with one lane a brand. */
export interface FairQueue {
    /** Whether there is room for one more of the brand. */
    admits(brand: string): boolean;
    push(waiting: Waiting): void;
    /** Removes a waiting attempt; false when it does not wait. */
    remove(attemptId: string): boolean;
    /** Removes and returns those whose time to be refused has come. */
    expire(now: number): Waiting[];
    /** Removes and returns those for which `isUnwanted` holds. */
    removeIf(isUnwanted: (waiting: Waiting) => boolean): Waiting[];
    /** Removes the first attempt, in turn, for which `match` finds something. */
    takeFirst<T>(match: (waiting: Waiting) => T | undefined): Match<T> | undefined;
    /** How many attempts get a slot before a new one of the brand. */
    ahead(brand: string): number;
    /** No attempt is to be refused before this time; `undefined` when none waits. */
    nextRefusalAt(): number | undefined;
    size(): number;
}

/** How many attempts of one brand are looked at when the first ones exclude every free member. */
const laneScanLimit = 4;

/** Creates an empty queue of at most `limit` attempts. */
export const createFairQueue = (limit: number): FairQueue => {
    // The order of the keys is the order of the turns: a brand that had its turn is put in again at the end.
    const lanes = new Map<string, Waiting[]>();
    let size = 0;
    // A lower bound: it is worked out anew only when its time has come, since looking at all on each step costs too much.
    let nextRefusalAt = Infinity;

    const laneLength = (brand: string): number => lanes.get(brand)?.length ?? 0;

    // A brand may hold as much as is still free, so that one brand alone never takes more than half of the queue.
    const admits = (brand: string): boolean => size < limit && laneLength(brand) < Math.max(1, limit - size);

    const push = (waiting: Waiting): void => {
        const lane = lanes.get(waiting.brand);
        if (lane === undefined) {
            lanes.set(waiting.brand, [waiting]);
        }
        else {
            lane.push(waiting);
        }
        size += 1;
        nextRefusalAt = Math.min(nextRefusalAt, waiting.refuseAt);
    };

    const removeFrom = (brand: string, lane: Waiting[], index: number): void => {
        lane.splice(index, 1);
        size -= 1;
        if (lane.length === 0) {
            lanes.delete(brand);
        }
    };

    const remove = (attemptId: string): boolean => {
        for (const [brand, lane] of lanes) {
            const index = lane.findIndex(waiting => waiting.attemptId === attemptId);
            if (index >= 0) {
                removeFrom(brand, lane, index);
                return true;
            }
        }
        return false;
    };

    const all = (): Waiting[] => [...lanes.values()].flat();

    const removeIf = (isUnwanted: (waiting: Waiting) => boolean): Waiting[] => {
        const unwanted = all().filter(isUnwanted);
        for (const waiting of unwanted) {
            remove(waiting.attemptId);
        }
        nextRefusalAt = all().reduce((earliest, waiting) => Math.min(earliest, waiting.refuseAt), Infinity);
        return unwanted;
    };

    const expire = (now: number): Waiting[] => now < nextRefusalAt ? [] : removeIf(waiting => waiting.refuseAt <= now);

    const takeFirst = <T>(match: (waiting: Waiting) => T | undefined): Match<T> | undefined => {
        for (const [brand, lane] of lanes) {
            for (const [index, waiting] of lane.slice(0, laneScanLimit).entries()) {
                const found = match(waiting);
                if (found !== undefined) {
                    removeFrom(brand, lane, index);
                    endTurn(brand, lane);
                    return { waiting, found };
                }
            }
        }
        return undefined;
    };

    const endTurn = (brand: string, lane: Waiting[]): void => {
        if (lane.length > 0) {
            lanes.delete(brand);
            lanes.set(brand, lane);
        }
    };

    const ahead = (brand: string): number => {
        const own = laneLength(brand);
        let sum = own;
        for (const [other, lane] of lanes) {
            sum += other === brand ? 0 : Math.min(lane.length, own + 1);
        }
        return sum;
    };

    return {
        admits,
        push,
        remove,
        expire,
        removeIf,
        takeFirst,
        ahead,
        nextRefusalAt: () => size === 0 ? undefined : nextRefusalAt,
        size: () => size,
    };
};
