/** Serves the catch-up requests of restarted hosts, one page at a time. */
import { ownValue, setOwnValue } from "../own-value.js";
import type { CatchUp } from "./catch-up.js";
import { ClaimMessageKind } from "./claim-message.js";
import type { AddressedMessage, CatchUpPage, CatchUpRequest, SharedRecord } from "./claim-message.js";
import { answerBytes, toSharedRecord } from "./claim-store.js";
import type { ClaimStore } from "./claim-store.js";

/** A page ends once the answers in it reach this size, in bytes. */
const pageAnswerLimitBytes = 1024 * 1024;

/** The records that one restarted host is being sent. */
interface CatchUpSession {
    id: string;
    claimIds: string[];
    vouchedFor: string[] | undefined;
}

/** Options of {@link createCatchUpResponder}. */
export interface CatchUpResponderCfg {
    store: ClaimStore;
    catchUp: CatchUp;
    pageRecords: number;
}

/** The serving side of catch-up. */
export interface CatchUpResponder {
    /** Returns the next page, or a message that tells the requesting host to start over. */
    respond(request: CatchUpRequest, fromHostId: string, now: number): AddressedMessage[];
}

/** Creates the serving side of catch-up, with no open session. */
export const createCatchUpResponder = (cfg: CatchUpResponderCfg): CatchUpResponder => {
    const { store, catchUp, pageRecords } = cfg;
    const sessions = new Map<string, CatchUpSession>();
    let sessionCount = 0;

    const openSession = (request: CatchUpRequest, fromHostId: string, now: number): CatchUpSession | undefined => {
        // Taken at the same time as the list of keys: keys that are merged later are missing from the list, so the session must
        // not vouch for them.
        const vouchedFor = catchUp.vouchedFor(fromHostId, now);
        if (vouchedFor !== undefined && vouchedFor.length <= request.vouched) {
            return undefined;
        }
        const isShared = (claimId: string): boolean => catchUp.placement()?.replicasOf(claimId).includes(fromHostId) ?? false;
        sessionCount += 1;
        const id = `${catchUp.incarnation()}/${sessionCount}`;
        const session = { id, claimIds: store.claimIds().filter(isShared), vouchedFor };
        sessions.set(fromHostId, session);
        return session;
    };

    const collectPage = (session: CatchUpSession, cursor: number, now: number): { records: SharedRecord[]; end: number; } => {
        const records: SharedRecord[] = [];
        let answerBytesInPage = 0;
        let end = cursor;
        while (end < session.claimIds.length && end - cursor < pageRecords && answerBytesInPage < pageAnswerLimitBytes) {
            const record = store.get(session.claimIds[end]!, now);
            end += 1;
            if (record !== undefined) {
                records.push(toSharedRecord(record, now));
                answerBytesInPage += record.finished?.answer === undefined ? 0 : answerBytes(record.finished.answer);
            }
        }
        return { records, end };
    };

    const sendPage = (
        session: CatchUpSession | undefined,
        request: CatchUpRequest,
        hostId: string,
        now: number,
    ): AddressedMessage[] => {
        if (session === undefined) {
            return [];
        }
        const { cursor, incarnation: forIncarnation } = request;
        const { records, end } = collectPage(session, cursor, now);
        const message: CatchUpPage = {
            kind: ClaimMessageKind.CatchUpPage,
            forIncarnation,
            session: session.id,
            cursor,
            next: end < session.claimIds.length ? end : undefined,
            records,
            incarnation: catchUp.incarnation(),
            known: { ...catchUp.knownIncarnations },
            vouchedFor: session.vouchedFor,
        };
        return [{ hostId, message }];
    };

    const continueSession = (sessionId: string, request: CatchUpRequest, hostId: string, now: number): AddressedMessage[] => {
        const session = sessions.get(hostId);
        return session?.id === sessionId
            ? sendPage(session, request, hostId, now)
            : [{ hostId, message: { kind: ClaimMessageKind.CatchUpRestart, session: sessionId } }];
    };

    const respond = (request: CatchUpRequest, fromHostId: string, now: number): AddressedMessage[] => {
        const { incarnation: forIncarnation } = request;
        const highest = ownValue(catchUp.knownIncarnations, fromHostId) ?? 0;
        if (highest > forIncarnation) {
            return [{ hostId: fromHostId, message: { kind: ClaimMessageKind.IncarnationUsed, highest } }];
        }
        // From here on each vote of this host reports the new incarnation, which invalidates older votes of the requesting host.
        setOwnValue(catchUp.knownIncarnations, fromHostId, forIncarnation);
        return request.session === undefined
            ? sendPage(openSession(request, fromHostId, now), request, fromHostId, now)
            : continueSession(request.session, request, fromHostId, now);
    };

    return { respond };
};
