/** Answers the catch-ups of restarted hosts, a page at a time. */
import type { CatchUp } from "./catch-up.js";
import { ClaimMessageKind } from "./claim-message.js";
import type { Addressed, CatchUpPage, CatchUpRequest, SharedRecord } from "./claim-message.js";
import { answerBytes, shareRecord } from "./claim-store.js";
import type { ClaimStore } from "./claim-store.js";

/** Bytes of answers after which a page ends. */
const pageAnswerBytes = 1024 * 1024;

/** What one restarted host is being sent. */
interface Session {
    id: string;
    claimIds: string[];
    vouchedFor: string[] | undefined;
}

/** Options of {@link createCatchUpSource}. */
export interface CatchUpSourceCfg {
    store: ClaimStore;
    catchUp: CatchUp;
    pageRecords: number;
}

/** Answers catch-ups. */
export interface CatchUpSource {
    answer(request: CatchUpRequest, fromHostId: string, now: number): Addressed[];
}

/** Creates the answering side. */
export const createCatchUpSource = (cfg: CatchUpSourceCfg): CatchUpSource => {
    const { store, catchUp, pageRecords } = cfg;
    const sessions = new Map<string, Session>();
    let opened = 0;

    const openSession = (request: CatchUpRequest, fromHostId: string, now: number): Session | undefined => {
        // What is vouched for is settled together with the list of keys: keys that are merged later are not in the list.
        const vouchedFor = catchUp.vouchedFor(fromHostId, now);
        if (vouchedFor !== undefined && vouchedFor.length <= request.vouched) {
            return undefined;
        }
        const isShared = (claimId: string): boolean => catchUp.membership()?.replicasOf(claimId).includes(fromHostId) ?? false;
        opened += 1;
        const id = `${catchUp.incarnation()}/${opened}`;
        const session = { id, claimIds: store.claimIds().filter(isShared), vouchedFor };
        sessions.set(fromHostId, session);
        return session;
    };

    const takeRecords = (session: Session, cursor: number, now: number): { records: SharedRecord[]; end: number; } => {
        const records: SharedRecord[] = [];
        let bytes = 0;
        let end = cursor;
        while (end < session.claimIds.length && end - cursor < pageRecords && bytes < pageAnswerBytes) {
            const record = store.get(session.claimIds[end]!, now);
            end += 1;
            if (record !== undefined) {
                records.push(shareRecord(record, now));
                bytes += record.finished?.answer === undefined ? 0 : answerBytes(record.finished.answer);
            }
        }
        return { records, end };
    };

    const sendPage = (session: Session | undefined, request: CatchUpRequest, hostId: string, now: number): Addressed[] => {
        if (session === undefined) {
            return [];
        }
        const { cursor, incarnation: forIncarnation } = request;
        const { records, end } = takeRecords(session, cursor, now);
        const message: CatchUpPage = {
            kind: ClaimMessageKind.CatchUpPage,
            forIncarnation,
            session: session.id,
            cursor,
            next: end < session.claimIds.length ? end : undefined,
            records,
            incarnation: catchUp.incarnation(),
            known: { ...catchUp.known },
            vouchedFor: session.vouchedFor,
        };
        return [{ hostId, message }];
    };

    const goOn = (sessionId: string, request: CatchUpRequest, hostId: string, now: number): Addressed[] => {
        const session = sessions.get(hostId);
        return session?.id === sessionId
            ? sendPage(session, request, hostId, now)
            : [{ hostId, message: { kind: ClaimMessageKind.CatchUpRestart, session: sessionId } }];
    };

    const answer = (request: CatchUpRequest, fromHostId: string, now: number): Addressed[] => {
        const { incarnation: forIncarnation } = request;
        const highest = catchUp.known[fromHostId] ?? 0;
        if (highest > forIncarnation) {
            return [{ hostId: fromHostId, message: { kind: ClaimMessageKind.IncarnationUsed, highest } }];
        }
        // From here on every vote of this host says that older votes of the asking host no longer count.
        catchUp.known[fromHostId] = forIncarnation;
        return request.session === undefined
            ? sendPage(openSession(request, fromHostId, now), request, fromHostId, now)
            : goOn(request.session, request, fromHostId, now);
    };

    return { answer };
};
