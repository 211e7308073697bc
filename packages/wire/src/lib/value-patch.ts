/**
 * Patches between two encoded values: parts that the newer value has in common with the older one are copied, the others are
 * inserted. Values are cut where lists and tables of a document begin, so that a changed row leaves the other rows as they are.
 */
import { Decoder, Encoder } from "cbor-x";

const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Bytes that begin a piece: "[" and "{". */
const openBracket = 0x5b;
const openBrace = 0x7b;
/** The longest piece, for values without brackets, in bytes. */
const maxPieceBytes = 512;

/** A part of the base to copy, as two numbers, or bytes to insert. */
type PatchPart = number | Uint8Array;

/** Calls `visit` for each piece between `from` and `to`, in order. */
const forEachPiece = (value: Uint8Array, from: number, to: number, visit: (start: number, end: number) => void): void => {
    let start = from;
    for (let end = from + 1; end <= to; end += 1) {
        const isCut = end === to || value[end] === openBracket || value[end] === openBrace || end - start === maxPieceBytes;
        if (isCut) {
            visit(start, end);
            start = end;
        }
    }
};

/** Bytes that are compared at once where two values are alike. */
const blockBytes = 256;

/** The number of bytes that two values have in common at their starts. */
const commonStart = (a: Buffer, b: Buffer): number => {
    const max = Math.min(a.length, b.length);
    let bytes = 0;
    while (bytes + blockBytes <= max && a.compare(b, bytes, bytes + blockBytes, bytes, bytes + blockBytes) === 0) {
        bytes += blockBytes;
    }
    while (bytes < max && a[bytes] === b[bytes]) {
        bytes += 1;
    }
    return bytes;
};

/** The number of bytes, `max` at most, that two values have in common at their ends. */
const commonEnd = (a: Buffer, b: Buffer, max: number): number => {
    const isSame = (from: number, to: number): boolean =>
        a.compare(b, b.length - from, b.length - to, a.length - from, a.length - to) === 0;
    let bytes = 0;
    while (bytes + blockBytes <= max && isSame(bytes + blockBytes, bytes)) {
        bytes += blockBytes;
    }
    while (bytes < max && a[a.length - bytes - 1] === b[b.length - bytes - 1]) {
        bytes += 1;
    }
    return bytes;
};

/** Returns the patch that turns `base` into `next`. */
export const createPatch = (base: Buffer, next: Buffer): Buffer => {
    const startBytes = commonStart(base, next);
    const endBytes = commonEnd(base, next, Math.min(base.length, next.length) - startBytes);
    const baseStarts = new Map<string, number>();
    forEachPiece(base, startBytes, base.length - endBytes, (start, end) => {
        baseStarts.set(base.toString("latin1", start, end), start);
    });
    const parts: PatchPart[] = [];
    let copyStart = 0;
    let copyEnd = startBytes;
    let insertStart: number | undefined;

    const endCopy = (): void => {
        if (copyEnd > copyStart) {
            parts.push(copyStart, copyEnd - copyStart);
        }
        copyStart = copyEnd;
    };
    const endInsert = (end: number): void => {
        if (insertStart !== undefined) {
            parts.push(next.subarray(insertStart, end));
            insertStart = undefined;
        }
    };
    const copy = (found: number, start: number, end: number): void => {
        endInsert(start);
        if (found !== copyEnd) {
            endCopy();
            copyStart = found;
        }
        copyEnd = found + end - start;
    };

    forEachPiece(next, startBytes, next.length - endBytes, (start, end) => {
        const found = baseStarts.get(next.toString("latin1", start, end));
        if (found === undefined) {
            endCopy();
            insertStart ??= start;
            return;
        }
        copy(found, start, end);
    });
    copy(base.length - endBytes, next.length - endBytes, next.length);
    endCopy();
    return encoder.encode(parts);
};

const invalidPatch = (): Error => new Error("The patch is not valid. Check that the peer runs the same version of cassiapick.");

const isInRange = (value: unknown, max: number): value is number =>
    Number.isInteger(value) && value as number >= 0 && value as number <= max;

/** Applies a patch to `base`. Throws if it is malformed or its result is longer than `limitBytes`. */
export const applyPatch = (base: Buffer, patch: Uint8Array, limitBytes: number): Buffer => {
    const parts: unknown = decoder.decode(patch);
    if (!Array.isArray(parts)) {
        throw invalidPatch();
    }
    const pieces: Uint8Array[] = [];
    let bytes = 0;
    for (let index = 0; index < parts.length; index += 1) {
        const part: unknown = parts[index];
        if (part instanceof Uint8Array) {
            pieces.push(part);
        }
        else {
            const length: unknown = parts[index + 1];
            index += 1;
            if (!isInRange(part, base.length) || !isInRange(length, base.length - part)) {
                throw invalidPatch();
            }
            pieces.push(base.subarray(part, part + length));
        }
        bytes += pieces.at(-1)!.length;
        if (bytes > limitBytes) {
            throw invalidPatch();
        }
    }
    return Buffer.concat(pieces);
};
