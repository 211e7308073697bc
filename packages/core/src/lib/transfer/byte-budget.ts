/**
 * Bounds the bytes of requests and answers that a host holds. An answer beyond the bound is read no faster than its caller reads
 * it; requests for large answers are refused before they are sent while little of the bound is left, and requests whose bodies
 * find no room before they are read.
 */

/** The bytes of requests and answers that one host holds. */
export interface ByteBudget {
    /** Whether `bytes` more may be held. */
    hasRoom(bytes: number): boolean;
    /** Whether so little is left that no request for a large answer should be sent. */
    isShort(): boolean;
    /**
     * Whether `bytes` more of a request body may be held, of which `ownBytes` are held already. A body for which the bound is too
     * small is taken while little else is held, so that each valid request is served at some time.
     */
    hasRoomForBody(bytes: number, ownBytes: number): boolean;
    /** Counts bytes that are held from now on, within the bound or not. */
    add(bytes: number): void;
    /** Counts bytes that are no longer held. */
    remove(bytes: number): void;
    /** Bytes that are held now. */
    held(): number;
}

/** While more than this fraction is in use, no request for a large answer is sent: those in flight may need the rest. */
const shortFraction = 0.8;

/** While the others hold at most this fraction, a body is taken in any case. */
const nearlyFreeFraction = 0.25;

/** Creates the empty budget of a host that may hold `maxBytes`. */
export const createByteBudget = (maxBytes: number): ByteBudget => {
    let held = 0;
    return {
        hasRoom: bytes => held + bytes <= maxBytes,
        hasRoomForBody: (bytes, ownBytes) => held + bytes <= maxBytes || held - ownBytes <= nearlyFreeFraction * maxBytes,
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
