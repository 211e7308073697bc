/** Connects the claim protocol of keyed requests to the request flow. */
import { ClaimActionKind, ClaimEventKind, createClaimNode } from "../claims/index.js";
import type { ClaimAction, ClaimEvent, ClaimMessage } from "../claims/index.js";
import type { Random } from "../random.js";
import type { EntryRoster } from "../state-messages.js";
import { EntryActionKind, FleetMessageKind } from "./entry-messages.js";
import type { EntryAction, RequestInfo } from "./entry-messages.js";
import type { ClaimOutcome } from "./request-flow-dependencies.js";

/** Options of {@link createClaimBridge}. */
export interface ClaimBridgeCfg {
    hostId: string;
    incarnation: number;
    random: Random;
    /** Called when this host has got the claim; runs the request. */
    onGranted: (requestId: string, now: number) => EntryAction[];
    /** Called when the request is answered without being run on this host. Returns whether it was still open. */
    onSettled: (requestId: string) => boolean;
}

/** The claims of one entry host. `now` is in milliseconds. */
export interface ClaimBridge {
    requestClaim(info: RequestInfo, now: number): EntryAction[];
    endClaim(requestId: string, outcome: ClaimOutcome, now: number): EntryAction[];
    receive(fromHostId: string, message: ClaimMessage, now: number): EntryAction[];
    /** Handles the state hosts' answer to the enrolment of this process. */
    onEnrolled(firstStart: boolean, roster: EntryRoster, now: number): EntryAction[];
    tick(now: number): EntryAction[];
    /** Number of keys whose claims this host stores as a replica. */
    claimedKeyCount(): number;
}

/** Creates the bridge. It refuses claims until the host has enrolled. */
export const createClaimBridge = (cfg: ClaimBridgeCfg): ClaimBridge => {
    const claims = createClaimNode({ hostId: cfg.hostId, incarnation: cfg.incarnation, random: cfg.random });

    const apply = (action: ClaimAction, now: number): EntryAction[] => {
        switch (action.kind) {
            case ClaimActionKind.Send: {
                const { hostId, message } = action;
                return [{ kind: EntryActionKind.Send, toHostId: hostId, message: { kind: FleetMessageKind.Claim, message } }];
            }
            case ClaimActionKind.Granted:
                return cfg.onGranted(action.requestId, now);
            case ClaimActionKind.Replay: {
                const { requestId, answer } = action;
                return cfg.onSettled(requestId) ? [{ kind: EntryActionKind.Replay, requestId, answer }] : [];
            }
            case ClaimActionKind.Refused: {
                const { requestId, refusal } = action;
                return cfg.onSettled(requestId) ? [{ kind: EntryActionKind.Refuse, requestId, refusal }] : [];
            }
        }
    };

    const step = (event: ClaimEvent, now: number): EntryAction[] => claims.step(event, now).flatMap(action => apply(action, now));

    const requestClaim = (info: RequestInfo, now: number): EntryAction[] => {
        const { requestId, brand, fingerprint, deadlineAt } = info;
        return step({
            kind: ClaimEventKind.ClaimRequested,
            requestId,
            brand,
            key: info.idempotencyKey ?? "",
            fingerprint,
            deadlineAt,
        }, now);
    };

    const outcomeEvent = (requestId: string, outcome: ClaimOutcome): ClaimEvent => {
        if (outcome.kind === "completed" && outcome.answer !== undefined) {
            return { kind: ClaimEventKind.Finished, requestId, answer: outcome.answer };
        }
        return { kind: outcome.kind === "not-run" ? ClaimEventKind.NotRun : ClaimEventKind.OutcomeUnknown, requestId };
    };

    return {
        requestClaim,
        endClaim: (requestId, outcome, now) => step(outcomeEvent(requestId, outcome), now),
        receive: (fromHostId, message, now) => step({ kind: ClaimEventKind.Message, fromHostId, message }, now),
        onEnrolled: (firstStart, roster, now) => [
            ...firstStart ? step({ kind: ClaimEventKind.FirstStart }, now) : [],
            ...step({ kind: ClaimEventKind.Roster, roster }, now),
        ],
        tick: now => step({ kind: ClaimEventKind.Tick }, now),
        claimedKeyCount: () => claims.keys(),
    };
};
