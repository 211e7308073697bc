/** Fake time: events in the order of their times. */

/** A queue of things to do at given times, in milliseconds. */
export interface EventQueue {
    at(time: number, run: () => void): void;
    /** Runs everything up to and including `until`. */
    runUntil(until: number): void;
    now(): number;
}

interface Entry {
    time: number;
    order: number;
    run: () => void;
}

const isBefore = (a: Entry, b: Entry): boolean => a.time < b.time || (a.time === b.time && a.order < b.order);

/** Creates an empty queue at time 0; entries of one time run in the order of their arrival. */
export const createEventQueue = (): EventQueue => {
    const heap: Entry[] = [];
    let clock = 0;
    let order = 0;

    const swap = (a: number, b: number): void => {
        [heap[a], heap[b]] = [heap[b]!, heap[a]!];
    };

    const at = (time: number, run: () => void): void => {
        heap.push({ time, order: order += 1, run });
        let index = heap.length - 1;
        for (let parent = (index - 1) >> 1; index > 0 && isBefore(heap[index]!, heap[parent]!); parent = (index - 1) >> 1) {
            swap(index, parent);
            index = parent;
        }
    };

    const smallerChild = (index: number): number => {
        const left = 2 * index + 1;
        const right = left + 1;
        return right < heap.length && isBefore(heap[right]!, heap[left]!) ? right : left;
    };

    const sink = (): void => {
        let index = 0;
        let child = smallerChild(index);
        while (child < heap.length && isBefore(heap[child]!, heap[index]!)) {
            swap(index, child);
            index = child;
            child = smallerChild(index);
        }
    };

    const pop = (): Entry => {
        swap(0, heap.length - 1);
        const first = heap.pop()!;
        sink();
        return first;
    };

    const runUntil = (until: number): void => {
        while (heap.length > 0 && heap[0]!.time <= until) {
            const entry = pop();
            clock = entry.time;
            entry.run();
        }
        clock = until;
    };

    return { at, runUntil, now: () => clock };
};
