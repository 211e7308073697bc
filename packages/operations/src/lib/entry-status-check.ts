/** Checks the status of an entry host before a program of operators trusts its shape. */
import { BurnOutcome, MemberState } from "@cassiapick/core";
import type { EntryStatus } from "@cassiapick/core";
import { z } from "zod";

const version = z.object({ epoch: z.int(), index: z.int() });

const member = z.object({
    serverId: z.string(),
    address: z.string(),
    availabilityZone: z.string(),
    state: z.enum(MemberState),
    slots: z.number(),
    inFlight: z.number(),
    evidence: z.number(),
    reason: z.string(),
});

const pool = z.object({
    destination: z.string(),
    service: z.string(),
    floorSlots: z.number(),
    queued: z.number(),
    ownerHostId: z.string().optional(),
    members: z.array(member),
});

const peer = z.object({ hostId: z.string(), alive: z.boolean(), adminAddress: z.string(), version });

const count = z.int().min(0);

const bucket = z.object({
    startMs: z.number(),
    counts: z.record(z.enum(BurnOutcome), count),
    slow: count,
    faults: z.array(z.object({ serverId: z.string().optional(), fault: z.string(), count })),
});

/** The shape of burn counters. */
export const burnSchema = z.object({
    bucketMs: z.int().min(1),
    keptSince: z.number(),
    series: z.array(z.object({
        brand: z.string(),
        destination: z.string(),
        slowAfterMs: z.number(),
        buckets: z.array(bucket),
    })),
});

const status = z.object({
    hostId: z.string(),
    region: z.string(),
    availabilityZone: z.string(),
    callerAddress: z.string(),
    version,
    draining: z.boolean(),
    startedAt: z.number(),
    incarnation: z.number(),
    now: z.number(),
    pools: z.array(pool),
    peers: z.array(peer),
    burn: burnSchema,
});

/** Whether a value is a whole status. */
export const isEntryStatus = (value: unknown): value is EntryStatus => status.safeParse(value).success;
