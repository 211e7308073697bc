/** The replica: gives one vote for each key, and never to two attempts. */
import type { CatchUp } from "./catch-up.js";
import { ClaimMessageKind, VerdictKind } from "./claim-message.js";
import type { Addressed, ClaimRequest, FinishRequest, Incarnations, ReleaseRequest, Verdict } from "./claim-message.js";
import type { ClaimStore } from "./claim-store.js";

/** Options of {@link createReplica}. */
export interface ReplicaCfg {
    hostId: string;
    store: ClaimStore;
    catchUp: CatchUp;
}

/** The replica side of a claim node. */
export interface Replica {
    claim(request: ClaimRequest, fromHostId: string, now: number): Addressed[];
    release(request: ReleaseRequest, fromHostId: string, now: number): Addressed[];
    finish(request: FinishRequest, fromHostId: string, now: number): Addressed[];
}

/** Creates the replica of one host. */
export const createReplica = (cfg: ReplicaCfg): Replica => {
    const { store, catchUp } = cfg;

    const judge = (request: ClaimRequest, now: number): Verdict | undefined => {
        const { claimId, holder } = request;
        const record = store.get(claimId, now);
        if (record?.finished !== undefined) {
            return { kind: VerdictKind.Finished, finished: record.finished };
        }
        if (record?.released.includes(holder.attemptId)) {
            return undefined;
        }
        const others = (record?.holders ?? []).filter(other => other.attemptId !== holder.attemptId);
        if (others.length > 0) {
            return { kind: VerdictKind.Held, holders: others, certain: catchUp.mayVote(claimId, now) };
        }
        if (!catchUp.mayVote(claimId, now)) {
            return { kind: VerdictKind.Abstained };
        }
        const voted = store.vote(claimId, holder, now);
        return { kind: voted === undefined ? VerdictKind.Full : VerdictKind.Voted };
    };

    const knownAmong = (hostIds: string[]): Incarnations =>
        Object.fromEntries(hostIds.filter(hostId => hostId in catchUp.known).map(hostId => [hostId, catchUp.known[hostId]!]));

    const claim = (request: ClaimRequest, fromHostId: string, now: number): Addressed[] => {
        const replicas = catchUp.membership()?.replicasOf(request.claimId) ?? [];
        const verdict = replicas.includes(cfg.hostId) ? judge(request, now) : undefined;
        if (verdict === undefined) {
            return [];
        }
        const { attemptId } = request.holder;
        const knowledge = { incarnation: catchUp.incarnation(), known: knownAmong(replicas) };
        return [{ hostId: fromHostId, message: { kind: ClaimMessageKind.ClaimReply, attemptId, ...knowledge, verdict } }];
    };

    const settled = (hostId: string, attemptId: string): Addressed[] => [{
        hostId,
        message: { kind: ClaimMessageKind.Settled, attemptId },
    }];

    const release = (request: ReleaseRequest, fromHostId: string, now: number): Addressed[] => {
        store.release(request.claimId, request.attemptId, now);
        return settled(fromHostId, request.attemptId);
    };

    const finish = (request: FinishRequest, fromHostId: string, now: number): Addressed[] => {
        store.finish(request.claimId, request.finished, now);
        return settled(fromHostId, request.finished.attemptId);
    };

    return { claim, release, finish };
};
