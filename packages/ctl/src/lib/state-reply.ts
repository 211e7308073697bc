/** Checks what a state host replied before the command line trusts its shape. */
import { StateReplyKind } from "@cassiapick/core";
import type { StateReply } from "@cassiapick/core";
import { z } from "zod";

const version = z.object({ epoch: z.int(), index: z.int() });
const message = z.string();

const replySchemas: Record<StateReplyKind, z.ZodType> = {
    [StateReplyKind.Applied]: z.object({ version }),
    [StateReplyKind.Conflict]: z.object({ version, winningChangeId: z.string(), message }),
    [StateReplyKind.Tables]: z.object({
        versioned: z.object({ version, tables: z.object({ routes: z.array(z.object({})), pools: z.array(z.object({})) }) }),
    }),
    [StateReplyKind.Unchanged]: z.object({ version }),
    [StateReplyKind.Status]: z.object({
        status: z.object({ hostId: z.string(), role: z.string(), term: z.number(), committed: version }),
    }),
    [StateReplyKind.History]: z.object({
        entries: z.array(z.object({ version, changeId: z.string(), author: z.string(), acceptedAt: z.number() })),
    }),
    [StateReplyKind.NotLeader]: z.object({ message }),
    [StateReplyKind.Unavailable]: z.object({ retryAfterMs: z.number(), message }),
    [StateReplyKind.Invalid]: z.object({ message }),
    [StateReplyKind.Enrolled]: z.object({ firstStart: z.boolean() }),
    [StateReplyKind.Recorded]: z.object({}),
    [StateReplyKind.Published]: z.object({}),
};

const kindSchema = z.object({ kind: z.enum(StateReplyKind) });

/** Whether a value is a reply whose fields the command line can use. */
export const isStateReply = (value: unknown): value is StateReply => {
    const kind = kindSchema.safeParse(value);
    return kind.success && replySchemas[kind.data.kind].safeParse(value).success;
};
