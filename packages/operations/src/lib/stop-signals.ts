/** Handles the signals that ask a process to stop. */
import type { EventLog } from "./event-log.js";

const stopSignals = ["SIGTERM", "SIGINT"] as const;

/**
 * Calls `stop` on the first signal. Later ones change nothing, as the stop is bounded in time and the default action would cut off
 * the requests that it finishes.
 */
export const onStopSignal = (stop: () => void, log: EventLog): void => {
    let isStopping = false;
    for (const signal of stopSignals) {
        process.on(signal, () => {
            if (isStopping) {
                log.log("stopSignalRepeated", { signal });
                return;
            }
            isStopping = true;
            stop();
        });
    }
};
