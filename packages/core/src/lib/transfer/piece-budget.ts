/**
 * Bounds the processor time that a host spends on bodies in very short pieces. Each piece costs about as much as a request's whole
 * body of the usual kind, so a few endless bodies in pieces of one byte would leave no time for other requests.
 */

/** The pieces of bodies that one host takes. */
export interface PieceBudget {
    /**
     * Counts `pieces` of a body with `bytes` bytes in all at the time `now`. Returns for how long no more of the body should be
     * read, in milliseconds; 0 if it may be read at once. Long pieces are free.
     */
    take(pieces: number, bytes: number, now: number): number;
}

/** Options of {@link createPieceBudget}. */
export interface PieceBudgetOptions {
    /** Short pieces that are taken in the long run, in pieces a millisecond. */
    piecesPerMs: number;
    /** Short pieces that are taken at once after a time without any. */
    burst: number;
}

/** A body whose pieces have this many bytes on average, or more, is free. */
export const freePieceBytes = 64;

const defaultOptions: PieceBudgetOptions = { piecesPerMs: 50, burst: 50_000 };

/** Creates the budget of one host, which has taken no piece yet. */
export const createPieceBudget = ({ piecesPerMs, burst }: PieceBudgetOptions = defaultOptions): PieceBudget => {
    let left = burst;
    let countedAt = -Infinity;
    return {
        take: (pieces, bytes, now) => {
            left = Math.min(burst, left + Math.max(0, now - countedAt) * piecesPerMs);
            countedAt = Math.max(countedAt, now);
            left -= Math.max(0, pieces - bytes / freePieceBytes);
            return Math.max(0, -left / piecesPerMs);
        },
    };
};
