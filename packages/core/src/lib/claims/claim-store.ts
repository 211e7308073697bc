/** The records that one replica keeps, bounded by time, by count and by bytes of answers. */
import type { ClaimLimits } from "./claim-contract.js";
import type { ClaimAnswer, ClaimHolder, FinishedClaim, SharedRecord } from "./claim-message.js";

/** Released attempts that are remembered for a key, so that a late copy of their claim takes no hold. */
const maxReleased = 32;

/** What a replica knows of one key. */
export interface ClaimRecord {
    claimId: string;
    /** Attempts that may hold the key: one, or several after a catch-up from replicas that had voted differently. */
    holders: ClaimHolder[];
    released: string[];
    finished: FinishedClaim | undefined;
    /** When the last vote was given; the key is kept for the horizon from then on. */
    since: number;
}

/** The records of one replica. */
export interface ClaimStore {
    get(claimId: string, now: number): ClaimRecord | undefined;
    /** Gives the vote of the replica; `undefined` when the store is full. */
    vote(claimId: string, holder: ClaimHolder, now: number): ClaimRecord | undefined;
    release(claimId: string, attemptId: string, now: number): void;
    finish(claimId: string, finished: FinishedClaim, now: number): void;
    /** Adds what another replica knows. It ignores the limit of keys, because forgetting a hold is never safe. */
    merge(shared: SharedRecord, now: number): void;
    expire(now: number): void;
    claimIds(): string[];
    size(): number;
}

/** Turns a record into what another replica is told. */
export const shareRecord = (record: ClaimRecord, now: number): SharedRecord => ({
    claimId: record.claimId,
    // Copies: the record goes on changing while a message waits to be sent.
    holders: [...record.holders],
    released: [...record.released],
    finished: record.finished,
    ageMs: now - record.since,
});

const withoutAnswer = ({ attemptId, fingerprint }: FinishedClaim): FinishedClaim => ({ attemptId, fingerprint });

/** The bytes that an answer is counted with. */
export const answerBytes = (answer: ClaimAnswer): number =>
    answer.headers.reduce((sum, [name, value]) => sum + name.length + value.length, answer.body.byteLength);

/** Creates an empty store. */
export const createClaimStore = (limits: ClaimLimits): ClaimStore => {
    const records = new Map<string, ClaimRecord>();
    /** Keys whose answers are kept, oldest first, with their bytes. */
    const kept = new Map<string, number>();
    let keptBytes = 0;

    const dropAnswer = (claimId: string): void => {
        keptBytes -= kept.get(claimId) ?? 0;
        kept.delete(claimId);
        const record = records.get(claimId);
        if (record?.finished !== undefined) {
            record.finished = withoutAnswer(record.finished);
        }
    };

    const remove = (claimId: string): void => {
        dropAnswer(claimId);
        records.delete(claimId);
    };

    const isExpired = (record: ClaimRecord, now: number): boolean => now - record.since >= limits.horizonMs;

    const get = (claimId: string, now: number): ClaimRecord | undefined => {
        const record = records.get(claimId);
        if (record !== undefined && isExpired(record, now)) {
            remove(claimId);
            return undefined;
        }
        return record;
    };

    const add = (claimId: string, since: number): ClaimRecord => {
        const record: ClaimRecord = { claimId, holders: [], released: [], finished: undefined, since };
        records.set(claimId, record);
        return record;
    };

    const expire = (now: number): void => {
        for (const record of records.values()) {
            // Records are in order of their making; merged ones are older than their place and wait a little longer.
            if (!isExpired(record, now)) {
                break;
            }
            remove(record.claimId);
        }
    };

    const open = (claimId: string, now: number): ClaimRecord | undefined => {
        const known = get(claimId, now);
        if (known !== undefined) {
            return known;
        }
        if (records.size >= limits.maxKeys) {
            expire(now);
        }
        return records.size < limits.maxKeys ? add(claimId, now) : undefined;
    };

    const refresh = (record: ClaimRecord, since: number): void => {
        if (record.since === since) {
            return;
        }
        record.since = since;
        records.delete(record.claimId);
        records.set(record.claimId, record);
    };

    const vote = (claimId: string, holder: ClaimHolder, now: number): ClaimRecord | undefined => {
        const record = open(claimId, now);
        if (record !== undefined && !record.holders.some(known => known.attemptId === holder.attemptId)) {
            // A key that was given back may run only now, and is kept for a whole horizon from here.
            refresh(record, now);
            record.holders.push(holder);
        }
        return record;
    };

    const markReleased = (record: ClaimRecord, attemptIds: string[]): void => {
        record.released = [...new Set([...record.released, ...attemptIds])].slice(-maxReleased);
        record.holders = record.holders.filter(holder => !attemptIds.includes(holder.attemptId));
    };

    const markFinished = (record: ClaimRecord, finished: FinishedClaim): void => {
        const known = record.finished;
        // The first word on a key stays; only a dropped answer may be filled in.
        if (known !== undefined && (known.answer !== undefined || finished.answer === undefined)) {
            return;
        }
        record.finished = finished;
        if (finished.answer === undefined) {
            return;
        }
        const bytes = answerBytes(finished.answer);
        kept.set(record.claimId, bytes);
        keptBytes += bytes;
        while (keptBytes > limits.maxAnswerBytesInAll) {
            dropAnswer(kept.keys().next().value!);
        }
    };

    const release = (claimId: string, attemptId: string, now: number): void => {
        const record = open(claimId, now);
        if (record !== undefined) {
            markReleased(record, [attemptId]);
        }
    };

    const finish = (claimId: string, finished: FinishedClaim, now: number): void => {
        const record = open(claimId, now);
        if (record !== undefined) {
            markFinished(record, finished);
        }
    };

    const merge = (shared: SharedRecord, now: number): void => {
        if (shared.ageMs >= limits.horizonMs) {
            return;
        }
        const record = get(shared.claimId, now) ?? add(shared.claimId, now - shared.ageMs);
        record.since = Math.max(record.since, now - shared.ageMs);
        const known = new Set(record.holders.map(holder => holder.attemptId));
        record.holders.push(...shared.holders.filter(holder => !known.has(holder.attemptId)));
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
