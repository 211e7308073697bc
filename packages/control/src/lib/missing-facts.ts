/** Records what a state host observes and the replicated state lacks. */
import type { LivenessMonitor } from "@cassiapick/core";
import type { StateDriver } from "@cassiapick/state";
import type { RecordFacts } from "./fact-batcher.js";

/** Options of {@link createMissingFactsRecorder}. */
export interface MissingFactsOptions {
    driver: Pick<StateDriver, "fleet" | "status">;
    livenessMonitor: Pick<LivenessMonitor, "missingFacts">;
    recordFacts: RecordFacts;
    /** Monotonic time in milliseconds. */
    clock: () => number;
}

/** Creates a function that records the missing facts, one batch at a time; it does nothing while there is no leader. */
export const createMissingFactsRecorder = (options: MissingFactsOptions): () => Promise<void> => {
    const { driver, livenessMonitor, recordFacts, clock } = options;
    let isRecording = false;
    return async () => {
        const fleet = driver.fleet();
        if (fleet === undefined || isRecording || driver.status().leaderId === undefined) {
            return;
        }
        const facts = livenessMonitor.missingFacts(fleet, clock());
        if (facts.length > 0) {
            isRecording = true;
            try {
                await recordFacts(facts);
            }
            finally {
                isRecording = false;
            }
        }
    };
};
