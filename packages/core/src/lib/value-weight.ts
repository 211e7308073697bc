/** Estimates the memory that plain data takes. */

/** Bytes of a reference, or of a short value in place of one. */
const referenceBytes = 8;
/** Bytes of an object, an array or a text without its content. */
const headerBytes = 16;
/** A character takes one byte or two, depending on the others in its text. */
const maxBytesPerChar = 2;

/** Returns an upper bound of the bytes that a value of objects, arrays, texts and numbers takes, but for values that are shared. */
export const weightOf = (value: unknown): number => {
    if (typeof value === "string") {
        return headerBytes + maxBytesPerChar * value.length;
    }
    if (typeof value !== "object" || value === null) {
        return referenceBytes;
    }
    let bytes = headerBytes;
    for (const part of Object.values(value)) {
        bytes += referenceBytes + weightOf(part);
    }
    return bytes;
};
