/** Computes digests of membership records, which show where two hosts' records differ without sending all of them. */
import { hash32 } from "../hash.js";
import type { HostRecord } from "./host-record.js";

/** The number of buckets in a digest. */
export const digestBuckets = 64;

/** Returns the bucket of a host, from 0. */
export const bucketOf = (hostId: string): number => hash32(hostId) % digestBuckets;

/** Returns one 32-bit number for each bucket. Equal records give equal digests in any order. */
export const digestOf = (records: Iterable<HostRecord>): number[] => {
    const digests = new Array<number>(digestBuckets).fill(0);
    for (const record of records) {
        const bucket = bucketOf(record.info.hostId);
        const contribution = hash32(`${record.info.hostId}/${record.incarnation}/${record.state}`);
        digests[bucket] = (digests[bucket]! ^ contribution) >>> 0;
    }
    return digests;
};
