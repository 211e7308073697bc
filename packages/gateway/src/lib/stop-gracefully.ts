/** Stops an entry host so that the requests which it has read are finished. */
import { stopSchedule } from "./stop-schedule.js";

/** Options of {@link stopGracefully}. */
export interface GracefulStop {
    /** Time limit of the stop, in milliseconds. */
    stopWithinMs: number;
    clock: () => number;
    /** Number of requests in flight. */
    openRequestCount(): number;
    /** From now on callers are told to go to other hosts; requests that arrive are still served. */
    startDraining(): void;
    /** From now on requests that arrive are refused. */
    stopAccepting(): void;
    /** From now on requests that have been sent to no server are refused, as nothing is left of them to finish here. */
    refuseUnsent(): void;
    close(): void;
}

/** Interval at which the requests in flight are counted, in milliseconds. */
const pollMs = 50;

/** Resolves when the host has finished its requests or its time is over, and has closed its connections. */
export const stopGracefully = async (stop: GracefulStop): Promise<void> => {
    const startedAt = stop.clock();
    const elapsed = (): number => stop.clock() - startedAt;
    const waitForNextPoll = (): Promise<void> => new Promise(resolve => setTimeout(resolve, pollMs));
    const { acceptUntilMs, sendUntilMs, finishUntilMs } = stopSchedule(stop.stopWithinMs);
    stop.startDraining();
    while (elapsed() < acceptUntilMs) {
        await waitForNextPoll();
    }
    stop.stopAccepting();
    while (stop.openRequestCount() > 0 && elapsed() < finishUntilMs) {
        if (elapsed() >= sendUntilMs) {
            stop.refuseUnsent();
        }
        await waitForNextPoll();
    }
    if (stop.openRequestCount() > 0) {
        stop.refuseUnsent();
        await waitForNextPoll();
    }
    stop.close();
};
