/** Encoding of the records in a data folder: a magic number, a length, a checksum, then one cbor-x value. */
import { Decoder, Encoder } from "cbor-x";
import { crc32 } from "node:zlib";

/** Starts each record, so that a scan finds the records after a damaged one. */
const recordMagic = 0x43504c31;
const headerBytes = 12;
/**
 * The magic number and the length. The checksum covers them too, so that a header with a length of zero and zeros behind it
 * does not pass for an empty record.
 */
const checksummedHeaderBytes = 8;

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** The state of a file after its last valid record. */
export enum RecordsEnd {
    Clean = "clean",
    /** The last write is incomplete after a crash; no state depends on it, because it was never synced. */
    Torn = "torn",
    /** A record is damaged, and valid records follow it. */
    Corrupt = "corrupt",
}

/** The decoded content of a file of records. */
export interface RecordsScan {
    values: unknown[];
    /** Length of the valid records at the start of the file, in bytes. */
    validBytes: number;
    end: RecordsEnd;
}

const checksumOf = (header: Buffer, body: Buffer): number => crc32(body, crc32(header.subarray(0, checksummedHeaderBytes)));

/** Encodes one value as a record. */
export const encodeRecord = (value: unknown): Buffer => {
    const body = encoder.encode(value);
    const record = Buffer.allocUnsafe(headerBytes + body.length);
    record.writeUInt32BE(recordMagic, 0);
    record.writeUInt32BE(body.length, 4);
    record.writeUInt32BE(checksumOf(record, body), checksummedHeaderBytes);
    body.copy(record, headerBytes);
    return record;
};

/** The end offset of the valid record at `start`; `undefined` when there is none. */
const recordEndAt = (bytes: Buffer, start: number): number | undefined => {
    if (start + headerBytes > bytes.length || bytes.readUInt32BE(start) !== recordMagic) {
        return undefined;
    }
    const end = start + headerBytes + bytes.readUInt32BE(start + 4);
    if (end > bytes.length) {
        return undefined;
    }
    const checksum = checksumOf(bytes.subarray(start), bytes.subarray(start + headerBytes, end));
    return checksum === bytes.readUInt32BE(start + checksummedHeaderBytes) ? end : undefined;
};

const hasValidRecordAfter = (bytes: Buffer, start: number): boolean => {
    const magicBytes = Buffer.alloc(4);
    magicBytes.writeUInt32BE(recordMagic, 0);
    let offset = bytes.indexOf(magicBytes, start + 1);
    while (offset !== -1) {
        if (recordEndAt(bytes, offset) !== undefined) {
            return true;
        }
        offset = bytes.indexOf(magicBytes, offset + 1);
    }
    return false;
};

/** Decodes the records from the start of a file up to the first invalid one. */
export const scanRecords = (content: Uint8Array): RecordsScan => {
    const bytes = Buffer.from(content.buffer, content.byteOffset, content.byteLength);
    const values: unknown[] = [];
    let offset = 0;
    while (offset < bytes.length) {
        const end = recordEndAt(bytes, offset);
        if (end === undefined) {
            return { values, validBytes: offset, end: hasValidRecordAfter(bytes, offset) ? RecordsEnd.Corrupt : RecordsEnd.Torn };
        }
        values.push(decoder.decode(bytes.subarray(offset + headerBytes, end)));
        offset = end;
    }
    return { values, validBytes: offset, end: RecordsEnd.Clean };
};
