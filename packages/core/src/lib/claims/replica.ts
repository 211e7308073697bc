/** Votes on claims as a replica: one vote for each key, never for two attempts. */
import type { CatchUp } from "./catch-up.js";
import { ClaimMessageKind, VerdictKind } from "./claim-message.js";
import type { AddressedMessage, ClaimRequest, FinishRequest, Incarnations, ReleaseRequest, Verdict } from "./claim-message.js";
import type { ClaimStore } from "./claim-store.js";

/** Options of {@link createReplica}. */
export interface ReplicaCfg {
    hostId: string;
    store: ClaimStore;
    catchUp: CatchUp;
}

/** The replica side of a claim node. Times are in milliseconds. */
export interface Replica {
    claim(request: ClaimRequest, fromHostId: string, now: number): AddressedMessage[];
    release(request: ReleaseRequest, fromHostId: string, now: number): AddressedMessage[];
    finish(request: FinishRequest, fromHostId: string, now: number): AddressedMessage[];
}

/** Creates the replica of one host. */
export const createReplica = (cfg: ReplicaCfg): Replica => {
    const { store, catchUp } = cfg;

    /** Returns `undefined` for a delayed claim of an attempt that has been released. */
    const castVote = (request: ClaimRequest, now: number): Verdict | undefined => {
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

    const incarnationsOf = (hostIds: string[]): Incarnations =>
        Object.fromEntries(Object.entries(catchUp.knownIncarnations).filter(([hostId]) => hostIds.includes(hostId)));

    const claim = (request: ClaimRequest, fromHostId: string, now: number): AddressedMessage[] => {
        const replicas = catchUp.placement()?.replicasOf(request.claimId) ?? [];
        const verdict = replicas.includes(cfg.hostId) ? castVote(request, now) : undefined;
        if (verdict === undefined) {
            return [];
        }
        const { attemptId } = request.holder;
        const restartKnowledge = { incarnation: catchUp.incarnation(), known: incarnationsOf(replicas) };
        return [{ hostId: fromHostId, message: { kind: ClaimMessageKind.ClaimReply, attemptId, ...restartKnowledge, verdict } }];
    };

    const confirmation = (hostId: string, attemptId: string): AddressedMessage[] => [{
        hostId,
        message: { kind: ClaimMessageKind.Confirmed, attemptId },
    }];

    const release = (request: ReleaseRequest, fromHostId: string, now: number): AddressedMessage[] => {
        store.release(request.claimId, request.attemptId, now);
        return confirmation(fromHostId, request.attemptId);
    };

    const finish = (request: FinishRequest, fromHostId: string, now: number): AddressedMessage[] => {
        store.finish(request.claimId, request.finished, now);
        return confirmation(fromHostId, request.finished.attemptId);
    };

    return { claim, release, finish };
};
