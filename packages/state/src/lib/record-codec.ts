/** Records of the data folder: a mark, a length, a checksum, then one cbor-x value. */
import { Decoder, Encoder } from "cbor-x";
import { crc32 } from "node:zlib";

/** Begins each record, so that a reader finds the next one behind a damaged one. */
const mark = 0x43504c31;
const headerBytes = 12;
/** The mark and the length, which the checksum covers too: a header of zeros must not look like an empty record. */
const checkedHeaderBytes = 8;

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** How the bytes of a file end. */
export enum RecordsEnd {
    Clean = "clean",
    /** The last write was cut off by a crash; nothing depends on it, because it was never synced. */
    Torn = "torn",
    /** A record is damaged and sound records follow it. */
    Corrupt = "corrupt",
}

/** What a file of records holds. */
export interface RecordsScan {
    values: unknown[];
    /** How many bytes at the start are sound. */
    soundBytes: number;
    end: RecordsEnd;
}

const checksumOf = (header: Buffer, body: Buffer): number => crc32(body, crc32(header.subarray(0, checkedHeaderBytes)));

/** Encodes one value as a record. */
export const encodeRecord = (value: unknown): Buffer => {
    const body = encoder.encode(value);
    const record = Buffer.allocUnsafe(headerBytes + body.length);
    record.writeUInt32BE(mark, 0);
    record.writeUInt32BE(body.length, 4);
    record.writeUInt32BE(checksumOf(record, body), checkedHeaderBytes);
    body.copy(record, headerBytes);
    return record;
};

/** The end of the sound record at `start`, or `undefined` when there is none. */
const endOfRecord = (bytes: Buffer, start: number): number | undefined => {
    if (start + headerBytes > bytes.length || bytes.readUInt32BE(start) !== mark) {
        return undefined;
    }
    const end = start + headerBytes + bytes.readUInt32BE(start + 4);
    if (end > bytes.length) {
        return undefined;
    }
    const checksum = checksumOf(bytes.subarray(start), bytes.subarray(start + headerBytes, end));
    return checksum === bytes.readUInt32BE(start + checkedHeaderBytes) ? end : undefined;
};

const hasRecordAfter = (bytes: Buffer, start: number): boolean => {
    const wanted = Buffer.alloc(4);
    wanted.writeUInt32BE(mark, 0);
    let at = bytes.indexOf(wanted, start + 1);
    while (at !== -1) {
        if (endOfRecord(bytes, at) !== undefined) {
            return true;
        }
        at = bytes.indexOf(wanted, at + 1);
    }
    return false;
};

/** Reads records from the start of a file as far as they are sound. */
export const scanRecords = (content: Uint8Array): RecordsScan => {
    const bytes = Buffer.from(content.buffer, content.byteOffset, content.byteLength);
    const values: unknown[] = [];
    let at = 0;
    while (at < bytes.length) {
        const end = endOfRecord(bytes, at);
        if (end === undefined) {
            return { values, soundBytes: at, end: hasRecordAfter(bytes, at) ? RecordsEnd.Corrupt : RecordsEnd.Torn };
        }
        values.push(decoder.decode(bytes.subarray(at + headerBytes, end)));
        at = end;
    }
    return { values, soundBytes: at, end: RecordsEnd.Clean };
};
