/**
 * Collects bytes that arrive in pieces of any size. A buffer takes some hundred bytes of memory beside its content, so short pieces
 * are copied into blocks: what is held stays in proportion to the bytes, however they are cut.
 */

/** Collects the bytes of one body or frame. */
export interface ByteCollector {
    /** Adds a piece, whose content must not change any more. */
    push(piece: Uint8Array): void;
    /** Number of bytes that are collected. */
    length(): number;
    /** Memory that the collected bytes take, in bytes, with the unused part of the latest block. */
    heldBytes(): number;
    /** Number of buffers that are held. */
    heldBuffers(): number;
    /** Returns the collected bytes as one buffer, and collects from the start again. */
    take(): Buffer;
}

/** Shorter pieces are copied, in bytes. */
const minSharedBytes = 1024;
/** Sizes of blocks, in bytes; between these, a block is as long as what is collected before it. */
const blockRange = { minBytes: 1024, maxBytes: 64 * 1024 } as const;
const noBytes = Buffer.alloc(0);

/** Creates an empty collector. */
export const createByteCollector = (): ByteCollector => {
    let parts: Buffer[] = [];
    let length = 0;
    let heldBytes = 0;
    let block = noBytes;
    /** The part of `block` that is in use, and where in it the bytes start that follow those of `parts`, in bytes. */
    let usedBytes = 0;
    let openFrom = 0;

    /** Moves the latest bytes of the block to `parts`. */
    const closePart = (): void => {
        if (usedBytes > openFrom) {
            parts.push(block.subarray(openFrom, usedBytes));
            openFrom = usedBytes;
        }
    };

    /** A short part of a long buffer would keep all of it in memory. */
    const canShare = ({ buffer, byteLength }: Uint8Array): boolean =>
        (length === 0 || byteLength >= minSharedBytes) && 2 * byteLength >= buffer.byteLength;

    const share = (piece: Uint8Array): void => {
        closePart();
        parts.push(Buffer.from(piece.buffer, piece.byteOffset, piece.byteLength));
        heldBytes += piece.buffer.byteLength;
    };

    const copy = (piece: Uint8Array): void => {
        for (let offset = 0; offset < piece.length;) {
            if (usedBytes === block.length) {
                closePart();
                block = Buffer.allocUnsafeSlow(Math.min(blockRange.maxBytes, Math.max(blockRange.minBytes, length)));
                heldBytes += block.length;
                usedBytes = 0;
                openFrom = 0;
            }
            const bytes = Math.min(block.length - usedBytes, piece.length - offset);
            for (let index = 0; index < bytes; index += 1) {
                block[usedBytes + index] = piece[offset + index]!;
            }
            usedBytes += bytes;
            offset += bytes;
        }
    };

    return {
        push: piece => {
            if (piece.length === 0) {
                return;
            }
            if (canShare(piece)) {
                share(piece);
            }
            else {
                copy(piece);
            }
            length += piece.length;
        },
        length: () => length,
        heldBytes: () => heldBytes,
        heldBuffers: () => parts.length + (usedBytes > openFrom ? 1 : 0),
        take: () => {
            closePart();
            const taken = parts.length === 1 ? parts[0]! : Buffer.concat(parts, length);
            parts = [];
            length = 0;
            heldBytes = 0;
            block = noBytes;
            usedBytes = 0;
            openFrom = 0;
            return taken;
        },
    };
};
