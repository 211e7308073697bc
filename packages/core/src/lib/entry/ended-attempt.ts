/** What the end of an attempt shows about its request. */
import { AttemptClass } from "../outcome.js";
import type { EntryEvent, EntryEventKind } from "./entry-messages.js";
import type { PoolController } from "./pool-controller.js";
import type { OpenAttempt, OpenRequest } from "./request-registry.js";
import type { EndedAttempt } from "./request-turns.js";

const answeredClasses: ReadonlySet<AttemptClass> = new Set([AttemptClass.Success, AttemptClass.ServerError]);

/** Describes an attempt that has ended at a server of `pool`. */
export const endedAttempt = (
    { info, service }: OpenRequest,
    { serverId = "", startedAt = 0 }: OpenAttempt,
    pool: PoolController | undefined,
    { attemptClass, hasServerEnded = false }: Extract<EntryEvent, { kind: EntryEventKind.AttemptEnded; }>,
    now: number,
): EndedAttempt => {
    const server = pool?.members().find(member => member.id === serverId);
    const address = server === undefined ? serverId : `${server.host}:${server.port}`;
    const isAnswered = answeredClasses.has(attemptClass);
    return { info, service, serverId, address, runMs: now - startedAt, isAnswered, hasServerEnded };
};
