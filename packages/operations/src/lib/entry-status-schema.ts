/** Validates the status that an entry host reports. */
import { BurnOutcome, MemberState } from "@cassiapick/core";
import type { EntryStatus } from "@cassiapick/core";
import { z } from "zod";

const versionSchema = z.object({ epoch: z.int(), index: z.int() });

const memberSchema = z.object({
    serverId: z.string(),
    address: z.string(),
    availabilityZone: z.string(),
    state: z.enum(MemberState),
    slots: z.number(),
    inFlight: z.number(),
    evidence: z.number(),
    reason: z.string(),
});

const poolSchema = z.object({
    destination: z.string(),
    service: z.string(),
    floorSlots: z.number(),
    queued: z.number(),
    ownerHostId: z.string().optional(),
    members: z.array(memberSchema),
});

const peerSchema = z.object({ hostId: z.string(), alive: z.boolean(), adminAddress: z.string(), version: versionSchema });

const countSchema = z.int().min(0);

const bucketSchema = z.object({
    startMs: z.number(),
    counts: z.record(z.enum(BurnOutcome), countSchema),
    slow: countSchema,
    faults: z.array(z.object({ serverId: z.string().optional(), fault: z.string(), count: countSchema })),
});

/** Schema of the burn counters of an entry host. */
export const burnSchema = z.object({
    bucketMs: z.int().min(1),
    keptSince: z.number(),
    series: z.array(z.object({
        brand: z.string(),
        destination: z.string(),
        slowAfterMs: z.number(),
        buckets: z.array(bucketSchema),
    })),
});

const statusSchema = z.object({
    hostId: z.string(),
    region: z.string(),
    availabilityZone: z.string(),
    callerAddress: z.string(),
    version: versionSchema,
    draining: z.boolean(),
    startedAt: z.number(),
    incarnation: z.number(),
    now: z.number(),
    pools: z.array(poolSchema),
    peers: z.array(peerSchema),
    burn: burnSchema,
});

/** Whether a value has all fields of a status, with the right types. */
export const isEntryStatus = (value: unknown): value is EntryStatus => statusSchema.safeParse(value).success;
