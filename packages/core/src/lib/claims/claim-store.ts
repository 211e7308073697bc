/** Stores the claim records of one replica, bounded by age, by count and by bytes of answers. */
import type { ClaimLimits } from "./claim-contract.js";
import type { ClaimAnswer, ClaimHolder, FinishedClaim, SharedRecord } from "./claim-message.js";

/** Released attempts that are kept for a key, so that a delayed copy of their claim does not hold the key again. */
const maxReleasedAttempts = 32;

/** The record of one key on a replica. */
export interface ClaimRecord {
    claimId: string;
    /** Attempts that may hold the key: one, or several after a catch-up from replicas with different votes. */
    holders: ClaimHolder[];
    /** IDs of attempts that certainly did not run. */
    released: string[];
    finished: FinishedClaim | undefined;
    /** When the replica gave its last vote, in milliseconds; the key is kept for one horizon after it. */
    lastVoteAt: number;
}

/** The claim store of one replica. Times are in milliseconds. */
export interface ClaimStore {
    get(claimId: string, now: number): ClaimRecord | undefined;
    /** Adds the attempt as a holder of the key; returns `undefined` when the store is full. */
    vote(claimId: string, holder: ClaimHolder, now: number): ClaimRecord | undefined;
    release(claimId: string, attemptId: string, now: number): void;
    finish(claimId: string, finished: FinishedClaim, now: number): void;
    /** Merges a record of another replica. It ignores the limit of keys, because dropping a hold is never safe. */
    merge(shared: SharedRecord, now: number): void;
    expire(now: number): void;
    claimIds(): string[];
    size(): number;
}

/** Converts a record to the form in which it is sent to another replica. */
export const toSharedRecord = (record: ClaimRecord, now: number): SharedRecord => ({
    claimId: record.claimId,
    // Copies, because the record may change while the message waits to be sent.
    holders: [...record.holders],
    released: [...record.released],
    finished: record.finished,
    ageMs: now - record.lastVoteAt,
});

const withoutAnswer = ({ attemptId, fingerprint }: FinishedClaim): FinishedClaim => ({ attemptId, fingerprint });

/** The size of an answer in bytes, for the limits on answers. */
export const answerBytes = (answer: ClaimAnswer): number =>
    answer.headers.reduce((sum, [name, value]) => sum + name.length + value.length, answer.body.byteLength);

/** Creates an empty store. */
export const createClaimStore = (limits: ClaimLimits): ClaimStore => {
    const records = new Map<string, ClaimRecord>();
    /** Sizes in bytes of the answers that are kept, by key, oldest first. */
    const answerSizes = new Map<string, number>();
    let totalAnswerBytes = 0;

    const dropAnswer = (claimId: string): void => {
        totalAnswerBytes -= answerSizes.get(claimId) ?? 0;
        answerSizes.delete(claimId);
        const record = records.get(claimId);
        if (record?.finished !== undefined) {
            record.finished = withoutAnswer(record.finished);
        }
    };

    const remove = (claimId: string): void => {
        dropAnswer(claimId);
        records.delete(claimId);
    };

    const isExpired = (record: ClaimRecord, now: number): boolean => now - record.lastVoteAt >= limits.horizonMs;

    const get = (claimId: string, now: number): ClaimRecord | undefined => {
        const record = records.get(claimId);
        if (record !== undefined && isExpired(record, now)) {
            remove(claimId);
            return undefined;
        }
        return record;
    };

    const add = (claimId: string, lastVoteAt: number): ClaimRecord => {
        const record: ClaimRecord = { claimId, holders: [], released: [], finished: undefined, lastVoteAt };
        records.set(claimId, record);
        return record;
    };

    const expire = (now: number): void => {
        for (const record of records.values()) {
            // Records are in order of insertion. Merged ones are older than their position and are removed a little later.
            if (!isExpired(record, now)) {
                break;
            }
            remove(record.claimId);
        }
    };

    const getOrAdd = (claimId: string, now: number): ClaimRecord | undefined => {
        const existing = get(claimId, now);
        if (existing !== undefined) {
            return existing;
        }
        if (records.size >= limits.maxKeys) {
            expire(now);
        }
        return records.size < limits.maxKeys ? add(claimId, now) : undefined;
    };

    const renew = (record: ClaimRecord, lastVoteAt: number): void => {
        if (record.lastVoteAt === lastVoteAt) {
            return;
        }
        record.lastVoteAt = lastVoteAt;
        records.delete(record.claimId);
        records.set(record.claimId, record);
    };

    const vote = (claimId: string, holder: ClaimHolder, now: number): ClaimRecord | undefined => {
        const record = getOrAdd(claimId, now);
        if (record !== undefined && !record.holders.some(known => known.attemptId === holder.attemptId)) {
            // A key that was released may run only now, so it is kept for a whole horizon from now on.
            renew(record, now);
            record.holders.push(holder);
        }
        return record;
    };

    const markReleased = (record: ClaimRecord, attemptIds: string[]): void => {
        record.released = [...new Set([...record.released, ...attemptIds])].slice(-maxReleasedAttempts);
        record.holders = record.holders.filter(holder => !attemptIds.includes(holder.attemptId));
    };

    const markFinished = (record: ClaimRecord, finished: FinishedClaim): void => {
        const existing = record.finished;
        // The first result of a key is final; only a missing answer may be added.
        if (existing !== undefined && (existing.answer !== undefined || finished.answer === undefined)) {
            return;
        }
        record.finished = finished;
        if (finished.answer === undefined) {
            return;
        }
        const bytes = answerBytes(finished.answer);
        answerSizes.set(record.claimId, bytes);
        totalAnswerBytes += bytes;
        while (totalAnswerBytes > limits.maxTotalAnswerBytes) {
            dropAnswer(answerSizes.keys().next().value!);
        }
    };

    const release = (claimId: string, attemptId: string, now: number): void => {
        const record = getOrAdd(claimId, now);
        if (record !== undefined) {
            markReleased(record, [attemptId]);
        }
    };

    const finish = (claimId: string, finished: FinishedClaim, now: number): void => {
        const record = getOrAdd(claimId, now);
        if (record !== undefined) {
            markFinished(record, finished);
        }
    };

    const merge = (shared: SharedRecord, now: number): void => {
        if (shared.ageMs >= limits.horizonMs) {
            return;
        }
        const record = get(shared.claimId, now) ?? add(shared.claimId, now - shared.ageMs);
        record.lastVoteAt = Math.max(record.lastVoteAt, now - shared.ageMs);
        const knownAttemptIds = new Set(record.holders.map(holder => holder.attemptId));
        record.holders.push(...shared.holders.filter(holder => !knownAttemptIds.has(holder.attemptId)));
        markReleased(record, [...record.released, ...shared.released]);
        if (shared.finished !== undefined) {
            markFinished(record, shared.finished);
        }
    };

    return {
        get,
        vote,
        release,
        finish,
        merge,
        expire,
        claimIds: () => [...records.keys()],
        size: () => records.size,
    };
};
