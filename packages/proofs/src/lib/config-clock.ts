/** Fake time for the proofs of the state hosts: tasks run in the order of their times. */

interface Task {
    at: number;
    order: number;
    run: () => void;
}

/** A clock that only moves when its next task runs. */
export interface FakeClock {
    now(): number;
    after(delayMs: number, run: () => void): void;
    /** Runs tasks until `untilMs`. */
    runUntil(untilMs: number): void;
}

const isBefore = (a: Task, b: Task): boolean => a.at === b.at ? a.order < b.order : a.at < b.at;

/** Creates a clock that starts at 0; tasks of the same time run in the order in which they were added. */
export const createFakeClock = (): FakeClock => {
    const heap: Task[] = [];
    let now = 0;
    let order = 0;

    const swap = (a: number, b: number): void => {
        [heap[a], heap[b]] = [heap[b]!, heap[a]!];
    };

    const push = (task: Task): void => {
        heap.push(task);
        let at = heap.length - 1;
        while (at > 0 && isBefore(heap[at]!, heap[(at - 1) >> 1]!)) {
            swap(at, (at - 1) >> 1);
            at = (at - 1) >> 1;
        }
    };

    const sink = (): void => {
        let at = 0;
        for (;;) {
            let least = at;
            for (const child of [2 * at + 1, 2 * at + 2]) {
                if (child < heap.length && isBefore(heap[child]!, heap[least]!)) {
                    least = child;
                }
            }
            if (least === at) {
                return;
            }
            swap(at, least);
            at = least;
        }
    };

    const pop = (): Task => {
        const first = heap[0]!;
        const last = heap.pop()!;
        if (heap.length > 0) {
            heap[0] = last;
            sink();
        }
        return first;
    };

    return {
        now: () => now,
        after: (delayMs, run) => {
            push({ at: now + delayMs, order, run });
            order += 1;
        },
        runUntil: untilMs => {
            while (heap.length > 0 && heap[0]!.at <= untilMs) {
                const task = pop();
                now = task.at;
                task.run();
            }
            now = untilMs;
        },
    };
};
