/** Batches facts, so that facts recorded at about the same time share one log entry and one sync. */
import type { Fact, StateReply } from "@cassiapick/core";

/** Facts that arrive within this time form one batch, in milliseconds. */
const batchDelayMs = 8;

/** Records facts; resolves with the reply to their batch. */
export type RecordFacts = (facts: readonly Fact[]) => Promise<StateReply>;

/** Creates a batcher that sends each batch with `submit`. */
export const createFactBatcher = (submit: (facts: Fact[]) => Promise<StateReply>): RecordFacts => {
    let pendingFacts: Fact[] = [];
    let batchReply: Promise<StateReply> | undefined;
    return facts => {
        pendingFacts.push(...facts);
        batchReply ??= new Promise((resolve, reject) => {
            setTimeout(() => {
                const batch = pendingFacts;
                pendingFacts = [];
                batchReply = undefined;
                submit(batch).then(resolve, reject);
            }, batchDelayMs);
        });
        return batchReply;
    };
};
