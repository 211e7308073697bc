/** Answers the catch-ups of restarted hosts, a page at a time. */
import type { CatchUp } from "./catch-up.js";
import { ClaimMessageKind } from "./claim-message.js";
import type { Addressed, CatchUpRequest, SharedRecord } from "./claim-message.js";
import { answerBytes, shareRecord } from "./claim-store.js";
import type { ClaimStore } from "./claim-store.js";

/** Records of one page, and the bytes of answers after which it ends. */
const pageRecords = 2000;
const pageAnswerBytes = 1024 * 1024;

/** What one restarted host is being sent. */
interface Session {
    incarnation: number;
    claimIds: string[];
    vouchedFor: string[] | undefined;
}

/** Options of {@link createCatchUpSource}. */
export interface CatchUpSourceCfg {
    store: ClaimStore;
    catchUp: CatchUp;
}

/** Answers catch-ups. */
export interface CatchUpSource {
    answer(request: CatchUpRequest, fromHostId: string, now: number): Addressed[];
}

/** Creates the answering side. */
export const createCatchUpSource = (cfg: CatchUpSourceCfg): CatchUpSource => {
    const { store, catchUp } = cfg;
    const sessions = new Map<string, Session>();

    const openSession = (request: CatchUpRequest, fromHostId: string, now: number): Session | undefined => {
        // What is vouched for is settled together with the list of keys: keys that are merged later are not in the list.
        const vouchedFor = catchUp.vouchedFor(fromHostId, now);
        if (vouchedFor !== undefined && vouchedFor.length <= request.vouched) {
            return undefined;
        }
        const isShared = (claimId: string): boolean => catchUp.membership()?.replicasOf(claimId).includes(fromHostId) ?? false;
        const session = { incarnation: request.incarnation, claimIds: store.claimIds().filter(isShared), vouchedFor };
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

    const currentSession = (request: CatchUpRequest, fromHostId: string): Session | undefined => {
        const session = sessions.get(fromHostId);
        return session?.incarnation === request.incarnation ? session : undefined;
    };

    const answer = (request: CatchUpRequest, fromHostId: string, now: number): Addressed[] => {
        const { incarnation: forIncarnation, cursor } = request;
        const highest = catchUp.known[fromHostId] ?? 0;
        if (highest > forIncarnation) {
            return [{ hostId: fromHostId, message: { kind: ClaimMessageKind.IncarnationUsed, highest } }];
        }
        // From here on every vote of this host says that older votes of the asking host no longer count.
        catchUp.known[fromHostId] = forIncarnation;
        const session = cursor === 0 ? openSession(request, fromHostId, now) : currentSession(request, fromHostId);
        const shared = { kind: ClaimMessageKind.CatchUpPage as const, forIncarnation, cursor };
        const knowledge = { incarnation: catchUp.incarnation(), known: { ...catchUp.known } };
        if (session === undefined) {
            const restart = { ...shared, ...knowledge, next: 0, records: [], vouchedFor: [] };
            return cursor === 0 ? [] : [{ hostId: fromHostId, message: restart }];
        }
        const { records, end } = takeRecords(session, cursor, now);
        const next = end < session.claimIds.length ? end : undefined;
        return [{ hostId: fromHostId, message: { ...shared, ...knowledge, next, records, vouchedFor: session.vouchedFor } }];
    };

    return { answer };
};
