/** Digests that tell which part of two hosts' knowledge differs, without sending all of it. */
import { hash32 } from "../hash.js";
import type { HostRecord } from "./host-record.js";

/** Buckets of a digest. */
export const digestBuckets = 64;

/** The bucket of a host. */
export const bucketOf = (hostId: string): number => hash32(hostId) % digestBuckets;

/** One number a bucket, the same for the same statements in any order. */
export const digestOf = (records: Iterable<HostRecord>): number[] => {
    const digests = new Array<number>(digestBuckets).fill(0);
    for (const record of records) {
        const bucket = bucketOf(record.info.hostId);
        const own = hash32(`${record.info.hostId}/${record.incarnation}/${record.state}`);
        digests[bucket] = (digests[bucket]! ^ own) >>> 0;
    }
    return digests;
};
