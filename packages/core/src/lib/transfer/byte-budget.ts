/**
 * Bounds the bytes of answers that a host holds for callers that read slowly. An answer beyond the bound is read no faster than
 * its caller reads it, and requests for large answers are refused before they are sent while little of the bound is left.
 */

/** The bytes of answers that one host holds. */
export interface ByteBudget {
    /** Whether `bytes` more may be held. */
    hasRoom(bytes: number): boolean;
    /** Whether so little is left that no request for a large answer should be sent. */
    isShort(): boolean;
    /** Counts bytes that are held from now on, within the bound or not. */
    add(bytes: number): void;
    /** Counts bytes that are no longer held. */
    remove(bytes: number): void;
    /** Bytes that are held now. */
    held(): number;
}

/** While more than this fraction is in use, no request for a large answer is sent: those in flight may need the rest. */
const shortFraction = 0.8;

/** Creates the empty budget of a host that may hold `maxBytes`. */
export const createByteBudget = (maxBytes: number): ByteBudget => {
    let held = 0;
    return {
        hasRoom: bytes => held + bytes <= maxBytes,
        isShort: () => held > shortFraction * maxBytes,
        add: bytes => {
            held += bytes;
        },
        remove: bytes => {
            held -= bytes;
        },
        held: () => held,
    };
};
