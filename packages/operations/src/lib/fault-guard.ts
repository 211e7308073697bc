/** Runs steps that must not keep later steps from running. */
import type { EventLog } from "./event-log.js";

/** Runs a step; an exception of it is logged as `internalFault` and not passed on. */
export type FaultGuard = (step: () => void) => void;

/** Creates a guard that adds `fields` to the log lines of exceptions. */
export const createFaultGuard = (log: EventLog, fields: Readonly<Record<string, string>> = {}): FaultGuard => step => {
    try {
        step();
    }
    catch (err) {
        const { message, stack } = err instanceof Error ? err : new Error(String(err));
        log.log("internalFault", { ...fields, message, stack });
    }
};
