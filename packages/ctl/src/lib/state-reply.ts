/** Validates the replies of state hosts. */
import { StateReplyKind } from "@cassiapick/core";
import type { StateReply } from "@cassiapick/core";
import { z } from "zod";

const versionSchema = z.object({ epoch: z.int(), index: z.int() });
const messageSchema = z.string();

const replySchemas: Record<StateReplyKind, z.ZodType> = {
    [StateReplyKind.Applied]: z.object({ version: versionSchema }),
    [StateReplyKind.Conflict]: z.object({ version: versionSchema, winningChangeId: z.string(), message: messageSchema }),
    [StateReplyKind.Tables]: z.object({
        versioned: z.object({
            version: versionSchema,
            tables: z.object({ routes: z.array(z.object({})), pools: z.array(z.object({})) }),
        }),
    }),
    [StateReplyKind.Unchanged]: z.object({ version: versionSchema }),
    [StateReplyKind.Status]: z.object({
        status: z.object({ hostId: z.string(), role: z.string(), term: z.number(), committed: versionSchema }),
    }),
    [StateReplyKind.History]: z.object({
        entries: z.array(z.object({ version: versionSchema, changeId: z.string(), author: z.string(), acceptedAt: z.number() })),
    }),
    [StateReplyKind.NotLeader]: z.object({ message: messageSchema }),
    [StateReplyKind.Unavailable]: z.object({ retryAfterMs: z.number(), message: messageSchema }),
    [StateReplyKind.Invalid]: z.object({ message: messageSchema }),
    [StateReplyKind.Enrolled]: z.object({ firstStart: z.boolean() }),
    [StateReplyKind.Recorded]: z.object({}),
    [StateReplyKind.Published]: z.object({}),
};

const kindSchema = z.object({ kind: z.enum(StateReplyKind) });

/** Whether a value is a reply that has the fields that the commands use. */
export const isStateReply = (value: unknown): value is StateReply => {
    const kind = kindSchema.safeParse(value);
    return kind.success && replySchemas[kind.data.kind].safeParse(value).success;
};
