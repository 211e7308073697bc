/** Power-of-two-choices scheduler for a host that knows only its own requests. */
import { RefusalKind, SchedulerActionKind, SchedulerEventKind } from "@cassiapick/core";
import type { Random, Scheduler, SchedulerAction, SchedulerEvent, SchedulerMember } from "@cassiapick/core";

const retryAfterMs = 250;

/** Grants each attempt immediately to the one of two random members of the region that has fewer requests in flight from this host. */
export const createTwoChoicesScheduler = (region: string, random: Random): Scheduler => {
    let members: readonly SchedulerMember[] = [];
    const serverIdByAttempt = new Map<string, string>();
    const inFlightByServer = new Map<string, number>();

    const inFlight = (serverId: string): number => inFlightByServer.get(serverId) ?? 0;

    const pickServer = (exclude: readonly string[]): string | undefined => {
        const eligible = members.filter(member => !exclude.includes(member.serverId));
        const local = eligible.filter(member => member.region === region);
        const candidates = local.length > 0 ? local : eligible;
        if (candidates.length === 0) {
            return undefined;
        }
        const first = candidates[random.below(candidates.length)]!.serverId;
        const second = candidates[random.below(candidates.length)]!.serverId;
        return inFlight(second) < inFlight(first) ? second : first;
    };

    const submit = (attemptId: string, exclude: readonly string[]): SchedulerAction => {
        const serverId = pickServer(exclude);
        if (serverId === undefined) {
            return { kind: SchedulerActionKind.Refuse, attemptId, reason: RefusalKind.NoCapacity, retryAfterMs };
        }
        serverIdByAttempt.set(attemptId, serverId);
        inFlightByServer.set(serverId, inFlight(serverId) + 1);
        return { kind: SchedulerActionKind.Grant, attemptId, serverId };
    };

    const release = (attemptId: string): void => {
        const serverId = serverIdByAttempt.get(attemptId);
        if (serverId !== undefined) {
            serverIdByAttempt.delete(attemptId);
            inFlightByServer.set(serverId, inFlight(serverId) - 1);
        }
    };

    const step = (event: SchedulerEvent): SchedulerAction[] => {
        if (event.kind === SchedulerEventKind.Submit) {
            return [submit(event.attemptId, event.exclude)];
        }
        if (event.kind === SchedulerEventKind.Release) {
            release(event.attemptId);
        }
        if (event.kind === SchedulerEventKind.Members) {
            members = event.members;
        }
        return [];
    };

    return { step, inFlight, queued: () => 0, nextTickAt: () => undefined };
};
