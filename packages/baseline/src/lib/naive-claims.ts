/** At-most-once execution that relies on the memory of one host only. */
import { ClaimActionKind, ClaimEventKind, Outcome, RefusalKind } from "@cassiapick/core";
import type { ClaimAction, ClaimAnswer, ClaimEvent, ClaimNode, ClaimNodeCfg, ClaimRequested } from "@cassiapick/core";

interface ClaimRecord {
    fingerprint: string;
    answer: ClaimAnswer | undefined;
}

const retryAfterMs = 1000;

/** Creates a claim node that stores only the keys of its own requests and doesn't coordinate with other hosts. */
export const createNaiveClaimNode = (_cfg: ClaimNodeCfg): ClaimNode => {
    const records = new Map<string, ClaimRecord>();
    const claimIdByRequestId = new Map<string, string>();

    const refuse = (requestId: string, kind: RefusalKind, outcome: Outcome.NotRun | Outcome.Unknown): ClaimAction => ({
        kind: ClaimActionKind.Refused,
        requestId,
        refusal: { kind, outcome, retryAfterMs, message: "The idempotency key has been used before. Use another key." },
    });

    const requestClaim = (event: ClaimRequested): ClaimAction => {
        const claimId = JSON.stringify([event.brand, event.key]);
        const record = records.get(claimId);
        if (record === undefined) {
            records.set(claimId, { fingerprint: event.fingerprint, answer: undefined });
            claimIdByRequestId.set(event.requestId, claimId);
            return { kind: ClaimActionKind.Granted, requestId: event.requestId };
        }
        if (record.fingerprint !== event.fingerprint) {
            return refuse(event.requestId, RefusalKind.KeyMismatch, Outcome.NotRun);
        }
        return record.answer === undefined
            ? refuse(event.requestId, RefusalKind.AlreadyStarted, Outcome.Unknown)
            : { kind: ClaimActionKind.Replay, requestId: event.requestId, answer: record.answer };
    };

    const recordAnswer = (requestId: string, answer: ClaimAnswer): void => {
        const record = records.get(claimIdByRequestId.get(requestId) ?? "");
        if (record !== undefined) {
            record.answer = answer;
        }
    };

    const step = (event: ClaimEvent): ClaimAction[] => {
        switch (event.kind) {
            case ClaimEventKind.ClaimRequested:
                return [requestClaim(event)];
            case ClaimEventKind.Finished:
                recordAnswer(event.requestId, event.answer);
                return [];
            case ClaimEventKind.NotRun:
                records.delete(claimIdByRequestId.get(event.requestId) ?? "");
                return [];
            default:
                return [];
        }
    };

    return { step, keys: () => records.size, catchUpPendingHosts: () => [], unconfirmedMessages: () => 0 };
};
