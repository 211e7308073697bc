/** Hashes strings deterministically, with equal results on every host and in every version. */

const offsetBasis = 0x811c9dc5;
const prime = 0x01000193;

/** Mixes the bits of a 32-bit integer, so that similar inputs give dissimilar outputs (the finaliser of MurmurHash3). */
export const mix32 = (value: number): number => {
    let mixed = value;
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
};

/**
 * Hashes a string to an integer from 0 to 2^32 - 1: FNV-1a over its UTF-16 units, then mixed. Not cryptographic: an
 * attacker can construct collisions.
 */
export const hash32 = (text: string): number => {
    let hash = offsetBasis;
    for (let index = 0; index < text.length; index += 1) {
        hash = Math.imul(hash ^ text.charCodeAt(index), prime);
    }
    return mix32(hash);
};
