/** Fake time: callbacks that run in the order of their times. */

/** A fake clock with its pending callbacks. Times are in milliseconds. */
export interface Timeline {
    now(): number;
    /** Runs the callback at a time; callbacks of one time run in the order in which they were added. */
    at(time: number, callback: () => void): void;
    after(delayMs: number, callback: () => void): void;
    /** Runs everything up to `until`. */
    run(until: number): void;
}

interface Entry {
    time: number;
    order: number;
    callback: () => void;
}

const isBefore = (a: Entry, b: Entry): boolean => a.time === b.time ? a.order < b.order : a.time < b.time;

const push = (heap: Entry[], entry: Entry): void => {
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

const smallerChild = (heap: Entry[], index: number): number => {
    const left = 2 * index + 1;
    const right = left + 1;
    return right < heap.length && isBefore(heap[right]!, heap[left]!) ? right : left;
};

const popFirst = (heap: Entry[]): Entry => {
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

/** Creates a timeline at time 0. */
export const createTimeline = (): Timeline => {
    const heap: Entry[] = [];
    let now = 0;
    let order = 0;

    const at = (time: number, callback: () => void): void => {
        order += 1;
        push(heap, { time: Math.max(now, time), order, callback });
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
