/** A server in fake time that runs requests in its slots, queues a few more and declines the others. */
import { AttemptOutcome } from "../index.js";
import type { Random } from "../index.js";
import { placesPerServer, slotsPerServer } from "./admission-load.js";
import type { ServerState } from "./admission-load.js";
import type { FakeTimeline } from "./fake-timeline.js";

/** One way, in milliseconds. */
export const networkMs = 2;

/** A request at a server. */
export interface Job {
    workMs: number;
    deadlineAt: number;
    end: (outcome: AttemptOutcome) => void;
    /** Whether its host still waits for it. */
    isOpen: boolean;
}

interface TestServerOptions {
    state: () => ServerState;
    random: Random;
    timeline: FakeTimeline;
    /** Called with the start of each request that has run. */
    ran: (startedAt: number) => void;
}

export const createTestServer = ({ state, random, timeline, ran }: TestServerOptions) => {
    const running = new Set<Job>();
    const queue: Job[] = [];

    const run = (job: Job): void => {
        const startedAt = timeline.now();
        const { slowness, resetProbability } = state();
        const isReset = random.next() < resetProbability;
        running.add(job);
        timeline.after(isReset ? networkMs : job.workMs * slowness, () => {
            ran(startedAt);
            running.delete(job);
            job.end(isReset ? AttemptOutcome.Broken : AttemptOutcome.Answered);
            startNext();
        });
    };

    const startNext = (): void => {
        while (running.size < slotsPerServer && queue.length > 0) {
            const job = queue.shift()!;
            if (job.isOpen && timeline.now() >= job.deadlineAt) {
                job.end(AttemptOutcome.Declined);
            }
            else if (job.isOpen) {
                run(job);
            }
        }
    };

    return {
        accept: (job: Job): void => {
            if (state().declinesAll || queue.filter(({ isOpen }) => isOpen).length >= placesPerServer) {
                job.end(AttemptOutcome.Declined);
                return;
            }
            queue.push(job);
            startNext();
        },
    };
};
