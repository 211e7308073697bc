/** Checks requests that arrive from other programs. */
import { DetectionMode, StateRequestKind } from "@cassiapick/core";
import type { StateRequest } from "@cassiapick/core";
import { z } from "zod";

const maxNameLength = 200;
const name = z.string().min(1).max(maxNameLength);
const version = z.object({ epoch: z.int().min(0), index: z.int().min(0) });

const route = z.object({
    brand: name,
    kind: name,
    destination: name,
    idempotent: z.boolean().optional(),
    timeoutMs: z.number().min(1),
});

const pool = z.object({
    destination: name,
    service: name,
    floorShare: z.number().min(0).max(1),
    detection: z.enum(DetectionMode),
});

const requestSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal(StateRequestKind.Apply),
        changeId: name,
        expectedVersion: version,
        tables: z.object({ routes: z.array(route), pools: z.array(pool) }),
        author: z.string().max(maxNameLength),
    }),
    z.object({ kind: z.literal(StateRequestKind.Read) }),
    z.object({ kind: z.literal(StateRequestKind.Watch), known: version, waitMs: z.number(), hostId: z.string() }),
    z.object({ kind: z.literal(StateRequestKind.Status) }),
    z.object({
        kind: z.literal(StateRequestKind.Enroll),
        host: z.object({ hostId: name, region: name, availabilityZone: name }),
        incarnation: z.int().min(0),
    }),
    z.object({ kind: z.literal(StateRequestKind.History), limit: z.number() }),
]);

export type ParsedRequest = { ok: true; request: StateRequest; } | { ok: false; message: string; };

/** Checks a request of an operator or an entry host. */
export const parseStateRequest = (body: unknown): ParsedRequest => {
    const parsed = requestSchema.safeParse(body);
    if (parsed.success) {
        return { ok: true, request: parsed.data };
    }
    const issues = parsed.error.issues.map(issue => `'${issue.path.join(".")}': ${issue.message}`).join("; ");
    return {
        ok: false,
        message: `The request is not valid: ${issues}. Check that the sender runs the same version of cassiapick.`,
    };
};
