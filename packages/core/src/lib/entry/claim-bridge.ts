/** Joins the claims of keyed requests to the flow of requests. */
import { ClaimActionKind, ClaimEventKind, createClaimNode } from "../claims/index.js";
import type { ClaimAction, ClaimEvent, ClaimMessage } from "../claims/index.js";
import type { Random } from "../random.js";
import type { EntryRoster } from "../state-messages.js";
import { EntryActionKind, FleetMessageKind } from "./entry-messages.js";
import type { EntryAction, RequestInfo } from "./entry-messages.js";
import type { ClaimEnd } from "./request-flow-ports.js";

/** Options of {@link createClaimBridge}. */
export interface ClaimBridgeCfg {
    hostId: string;
    incarnation: number;
    random: Random;
    /** The claim is this host's: run the request. */
    onGranted: (requestId: string, now: number) => EntryAction[];
    /** The request is answered without a run here. Returns whether it was still open. */
    onSettled: (requestId: string) => boolean;
}

/** The claims of one entry host. Times are in milliseconds. */
export interface ClaimBridge {
    want(info: RequestInfo, now: number): EntryAction[];
    end(requestId: string, end: ClaimEnd, now: number): EntryAction[];
    receive(fromHostId: string, message: ClaimMessage, now: number): EntryAction[];
    /** The state hosts have answered the enrolment of this process. */
    enrolled(firstStart: boolean, roster: EntryRoster, now: number): EntryAction[];
    tick(now: number): EntryAction[];
    keys(): number;
}

/** Creates the bridge; until the host has enrolled, claims are refused. */
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

    const want = (info: RequestInfo, now: number): EntryAction[] => {
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

    const endEvent = (requestId: string, end: ClaimEnd): ClaimEvent => {
        if (end.kind === "completed" && end.answer !== undefined) {
            return { kind: ClaimEventKind.Finished, requestId, answer: end.answer };
        }
        return { kind: end.kind === "not-run" ? ClaimEventKind.NotRun : ClaimEventKind.OutcomeUnknown, requestId };
    };

    return {
        want,
        end: (requestId, end, now) => step(endEvent(requestId, end), now),
        receive: (fromHostId, message, now) => step({ kind: ClaimEventKind.Message, fromHostId, message }, now),
        enrolled: (firstStart, roster, now) => [
            ...firstStart ? step({ kind: ClaimEventKind.FirstStart }, now) : [],
            ...step({ kind: ClaimEventKind.Roster, roster }, now),
        ],
        tick: now => step({ kind: ClaimEventKind.Tick }, now),
        keys: () => claims.keys(),
    };
};
