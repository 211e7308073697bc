/** Simulated time: an event queue that runs callbacks in the order of their times. */

/** A simulated clock with its scheduled callbacks. Times are in milliseconds. */
export interface Timeline {
    now(): number;
    /** Schedules a callback, not before the current time; callbacks of equal times run in the order in which they were added. */
    at(time: number, callback: () => void): void;
    /** Schedules a callback after a delay from the current time. */
    after(delayMs: number, callback: () => void): void;
    /** Runs every callback up to and including `until` and moves the clock there. */
    run(until: number): void;
}

interface ScheduledCallback {
    time: number;
    insertionOrder: number;
    callback: () => void;
}

const isBefore = (a: ScheduledCallback, b: ScheduledCallback): boolean =>
    a.time === b.time ? a.insertionOrder < b.insertionOrder : a.time < b.time;

const push = (heap: ScheduledCallback[], entry: ScheduledCallback): void => {
    let index = heap.length;
    heap.push(entry);
    while (index > 0) {
        const parent = (index - 1) >> 1;
        if (!isBefore(entry, heap[parent]!)) {
            break;
        }
        heap[index] = heap[parent]!;
        index = parent;
    }
    heap[index] = entry;
};

const smallerChild = (heap: ScheduledCallback[], index: number): number => {
    const left = 2 * index + 1;
    const right = left + 1;
    return right < heap.length && isBefore(heap[right]!, heap[left]!) ? right : left;
};

const popFirst = (heap: ScheduledCallback[]): ScheduledCallback => {
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length > 0) {
        let index = 0;
        for (let child = smallerChild(heap, 0); child < heap.length && isBefore(heap[child]!, last);) {
            heap[index] = heap[child]!;
            index = child;
            child = smallerChild(heap, index);
        }
        heap[index] = last;
    }
    return first;
};

/** Creates a timeline whose clock stands at 0. */
export const createTimeline = (): Timeline => {
    const heap: ScheduledCallback[] = [];
    let now = 0;
    let insertionCount = 0;

    const at = (time: number, callback: () => void): void => {
        insertionCount += 1;
        push(heap, { time: Math.max(now, time), insertionOrder: insertionCount, callback });
    };

    const run = (until: number): void => {
        while (heap.length > 0 && heap[0]!.time <= until) {
            const entry = popFirst(heap);
            now = entry.time;
            entry.callback();
        }
        now = Math.max(now, until);
    };

    return { now: () => now, at, after: (delayMs, callback) => at(now + delayMs, callback), run };
};
