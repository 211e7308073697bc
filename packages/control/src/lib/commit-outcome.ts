/** Outcomes of requests that are committed by the consensus. */
import { StateReplyKind } from "@cassiapick/core";
import type { StateReply } from "@cassiapick/core";
import { ControlOutcome } from "./control-contract.js";

/**
 * Timeout for committing an announcement, a leave notice or a publication, in milliseconds. The sender of an announcement tries
 * another host after one second.
 */
const commitTimeoutMs = 900;

/** Resolves with the outcome of a request; without a reply in time it is unknown. */
export const withCommitTimeout = (reply: Promise<StateReply>): Promise<ControlOutcome> =>
    new Promise(resolve => {
        const timer = setTimeout(() => resolve(ControlOutcome.Unavailable), commitTimeoutMs);
        void reply.then(({ kind }) => {
            clearTimeout(timer);
            resolve(kind === StateReplyKind.Recorded ? ControlOutcome.Done : ControlOutcome.Unavailable);
        });
    });
