/** Validation of the requests that operators and entry hosts send to a state host. */
import { DetectionMode, StateRequestKind } from "@cassiapick/core";
import type { StateRequest } from "@cassiapick/core";
import { z } from "zod";

/** Longest name, id or author, in UTF-16 code units. */
const maxNameLength = 200;
const nameSchema = z.string().min(1).max(maxNameLength);
const versionSchema = z.object({ epoch: z.int().min(0), index: z.int().min(0) });

const routeSchema = z.object({
    brand: nameSchema,
    kind: nameSchema,
    destination: nameSchema,
    idempotent: z.boolean().optional(),
    timeoutMs: z.number().min(1),
});

const poolSchema = z.object({
    destination: nameSchema,
    service: nameSchema,
    floorShare: z.number().min(0).max(1),
    detection: z.enum(DetectionMode),
});

const requestSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal(StateRequestKind.Apply),
        changeId: nameSchema,
        expectedVersion: versionSchema,
        tables: z.object({ routes: z.array(routeSchema), pools: z.array(poolSchema) }),
        author: z.string().max(maxNameLength),
    }),
    z.object({ kind: z.literal(StateRequestKind.Read) }),
    // `known` is the version of the tables that the entry host already has.
    z.object({ kind: z.literal(StateRequestKind.Watch), known: versionSchema, waitMs: z.number(), hostId: z.string() }),
    z.object({ kind: z.literal(StateRequestKind.Status) }),
    z.object({
        kind: z.literal(StateRequestKind.Enroll),
        host: z.object({ hostId: nameSchema, region: nameSchema, availabilityZone: nameSchema }),
        incarnation: z.int().min(0),
    }),
    z.object({ kind: z.literal(StateRequestKind.History), limit: z.number() }),
]);

/** The request, or a message that lists what is invalid. */
export type ParseStateRequestResult = { ok: true; request: StateRequest; } | { ok: false; message: string; };

/** Validates the body of a request. */
export const parseStateRequest = (body: unknown): ParseStateRequestResult => {
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
