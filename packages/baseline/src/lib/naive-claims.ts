/** At most once by the memory of each host alone. */
import { ClaimActionKind, ClaimEventKind, Outcome, RefusalKind } from "@cassiapick/core";
import type { ClaimAction, ClaimAnswer, ClaimEvent, ClaimNode, ClaimNodeCfg, ClaimRequested } from "@cassiapick/core";

interface NaiveRecord {
    fingerprint: string;
    answer: ClaimAnswer | undefined;
}

const retryAfterMs = 1000;

/** Creates a node that remembers the keys it has seen and asks no other host. */
export const createNaiveClaimNode = (_cfg: ClaimNodeCfg): ClaimNode => {
    const records = new Map<string, NaiveRecord>();
    const running = new Map<string, string>();

    const refuse = (requestId: string, kind: RefusalKind, outcome: Outcome.NotRun | Outcome.Unknown): ClaimAction => ({
        kind: ClaimActionKind.Refused,
        requestId,
        refusal: { kind, outcome, retryAfterMs, message: "The key has been seen. Use another key." },
    });

    const want = (event: ClaimRequested): ClaimAction => {
        const claimId = JSON.stringify([event.brand, event.key]);
        const record = records.get(claimId);
        if (record === undefined) {
            records.set(claimId, { fingerprint: event.fingerprint, answer: undefined });
            running.set(event.requestId, claimId);
            return { kind: ClaimActionKind.Granted, requestId: event.requestId };
        }
        if (record.fingerprint !== event.fingerprint) {
            return refuse(event.requestId, RefusalKind.KeyMismatch, Outcome.NotRun);
        }
        return record.answer === undefined
            ? refuse(event.requestId, RefusalKind.AlreadyStarted, Outcome.Unknown)
            : { kind: ClaimActionKind.Replay, requestId: event.requestId, answer: record.answer };
    };

    const finish = (requestId: string, answer: ClaimAnswer): void => {
        const record = records.get(running.get(requestId) ?? "");
        if (record !== undefined) {
            record.answer = answer;
        }
    };

    const step = (event: ClaimEvent): ClaimAction[] => {
        switch (event.kind) {
            case ClaimEventKind.ClaimRequested:
                return [want(event)];
            case ClaimEventKind.Finished:
                finish(event.requestId, event.answer);
                return [];
            case ClaimEventKind.NotRun:
                records.delete(running.get(event.requestId) ?? "");
                return [];
            default:
                return [];
        }
    };

    return { step, keys: () => records.size, catchUpPendingHosts: () => [], unconfirmedMessages: () => 0 };
};
