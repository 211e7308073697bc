/** Gathers facts that come together, so that they share one position of the log and one sync. */
import type { Fact, StateReply } from "@cassiapick/core";

/** Facts that come within this time, in milliseconds, are agreed on together. */
const gatherMs = 8;

/** Has facts agreed on; resolves with the reply to all that were gathered with them. */
export type RecordFacts = (facts: readonly Fact[]) => Promise<StateReply>;

/** Creates a desk that passes gathered facts on with `request`. */
export const createFactDesk = (request: (facts: Fact[]) => Promise<StateReply>): RecordFacts => {
    let gathered: Fact[] = [];
    let reply: Promise<StateReply> | undefined;
    return facts => {
        gathered.push(...facts);
        reply ??= new Promise(resolve => {
            setTimeout(() => {
                const together = gathered;
                gathered = [];
                reply = undefined;
                void request(together).then(resolve);
            }, gatherMs);
        });
        return reply;
    };
};
