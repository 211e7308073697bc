/** Lets an entry host that stops finish the requests that it has read. */
import type { CallerServer } from "./caller-server.js";
import type { ForwardServer } from "./forward-server.js";
import { stopSchedule } from "./stop-schedule.js";

/** Options of {@link finishOpenRequests}. */
export interface FinishOptions {
    callerServer: Pick<CallerServer, "startDraining" | "stopAccepting">;
    forwardServer: Pick<ForwardServer, "startDraining">;
    openRequestCount: () => number;
    /** Time limit of the stop, in milliseconds. */
    stopWithinMs: number;
    clock: () => number;
}

const pollMs = 50;

/** Resolves when no request is open any more, or when the time for that has passed. */
export const finishOpenRequests = async (options: FinishOptions): Promise<void> => {
    const { callerServer, forwardServer, openRequestCount, clock } = options;
    const startedAt = clock();
    callerServer.startDraining();
    forwardServer.startDraining();
    const elapsed = (): number => clock() - startedAt;
    const waitForNextPoll = (): Promise<void> => new Promise(resolve => setTimeout(resolve, pollMs));
    const { acceptUntilMs, finishUntilMs } = stopSchedule(options.stopWithinMs);
    while (elapsed() < acceptUntilMs) {
        await waitForNextPoll();
    }
    callerServer.stopAccepting();
    while (openRequestCount() > 0 && elapsed() < finishUntilMs) {
        await waitForNextPoll();
    }
};
