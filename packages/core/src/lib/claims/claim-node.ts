/** One host's part in at-most-once: coordinator and replica together. */
import { createCatchUpSource } from "./catch-up-source.js";
import { createCatchUp } from "./catch-up.js";
import { ClaimActionKind, ClaimEventKind, defaultClaimLimits } from "./claim-contract.js";
import type { ClaimAction, ClaimEvent, ClaimNode, ClaimNodeCfg } from "./claim-contract.js";
import { ClaimMessageKind } from "./claim-message.js";
import type { Addressed, ClaimMessage } from "./claim-message.js";
import { createClaimStore } from "./claim-store.js";
import { createCoordinator } from "./coordinator.js";
import { createReplica } from "./replica.js";
import { createMembership } from "./roster.js";
import type { ClaimRoster } from "./roster.js";

type MessageOf<K extends ClaimMessageKind> = Extract<ClaimMessage, { kind: K; }>;
type MessageHandlers = {
    [K in ClaimMessageKind]: (message: MessageOf<K>, fromHostId: string, now: number) => ClaimAction[];
};
type EventHandlers = {
    [K in ClaimEventKind]: (event: Extract<ClaimEvent, { kind: K; }>, now: number) => ClaimAction[];
};

const toActions = (messages: Addressed[]): ClaimAction[] =>
    messages.map(({ hostId, message }) => ({ kind: ClaimActionKind.Send, hostId, message }));

/**
 * Creates the claim node of a process that has just started. Until a roster arrives it refuses every claim; until it has
 * caught up, or learns that this is the first start of its host, it gives no votes.
 */
export const createClaimNode = (cfg: ClaimNodeCfg): ClaimNode => {
    const { hostId, incarnation, random } = cfg;
    const limits = { ...defaultClaimLimits, ...cfg.limits };
    const store = createClaimStore(limits);
    const catchUp = createCatchUp({ hostId, incarnation, limits, store });
    const source = createCatchUpSource({ store, catchUp, pageRecords: limits.pageRecords });
    const replica = createReplica({ hostId, store, catchUp });
    const coordinator = createCoordinator({ hostId, incarnation, random, limits });

    const setRoster = (roster: ClaimRoster, now: number): ClaimAction[] => {
        const version = catchUp.membership()?.roster.version ?? -1;
        if (roster.version <= version) {
            return [];
        }
        const membership = createMembership(roster);
        return [...toActions(catchUp.setRoster(membership, now)), ...coordinator.rosterChanged(membership, now)];
    };

    /** Answers a peer whose roster differs: one of the two must learn the newer one before they go on. */
    const alignRosters = (theirs: number, fromHostId: string): Addressed[] | undefined => {
        const roster = catchUp.membership()?.roster;
        if (roster === undefined) {
            return [];
        }
        if (roster.version === theirs) {
            return undefined;
        }
        const message: ClaimMessage = roster.version > theirs
            ? { kind: ClaimMessageKind.RosterNews, roster }
            : { kind: ClaimMessageKind.RosterWanted };
        return [{ hostId: fromHostId, message }];
    };

    const sendRoster = (toHostId: string): ClaimAction[] => {
        const roster = catchUp.membership()?.roster;
        return roster === undefined
            ? []
            : toActions([{ hostId: toHostId, message: { kind: ClaimMessageKind.RosterNews, roster } }]);
    };

    const messageHandlers: MessageHandlers = {
        [ClaimMessageKind.Claim]: (message, from, now) =>
            toActions(alignRosters(message.rosterVersion, from) ?? replica.claim(message, from, now)),
        [ClaimMessageKind.ClaimReply]: (message, from, now) => coordinator.reply(message, from, now),
        [ClaimMessageKind.Release]: (message, from, now) => toActions(replica.release(message, from, now)),
        [ClaimMessageKind.Finish]: (message, from, now) => toActions(replica.finish(message, from, now)),
        [ClaimMessageKind.Settled]: (message, from) => {
            coordinator.settled(message.attemptId, from);
            return [];
        },
        [ClaimMessageKind.CatchUp]: (message, from, now) =>
            toActions(alignRosters(message.rosterVersion, from) ?? source.answer(message, from, now)),
        [ClaimMessageKind.CatchUpPage]: (message, from, now) => toActions(catchUp.page(message, from, now)),
        [ClaimMessageKind.CatchUpRestart]: (message, from, now) => toActions(catchUp.restart(message.session, from, now)),
        [ClaimMessageKind.IncarnationUsed]: (message, _from, now) => toActions(catchUp.incarnationUsed(message.highest, now)),
        [ClaimMessageKind.RosterWanted]: (_message, from) => sendRoster(from),
        // The first roster of a process must be a linearizable read, which a peer can't give.
        [ClaimMessageKind.RosterNews]: (message, _from, now) =>
            catchUp.membership() === undefined ? [] : setRoster(message.roster, now),
    };

    const receive = (message: ClaimMessage, from: string, now: number): ClaimAction[] => {
        const handle = messageHandlers[message.kind] as (message: ClaimMessage, from: string, now: number) => ClaimAction[];
        return handle(message, from, now);
    };

    const tick = (now: number): ClaimAction[] => {
        store.expire(now);
        return [...toActions(catchUp.tick(now)), ...coordinator.tick(now)];
    };

    const eventHandlers: EventHandlers = {
        [ClaimEventKind.ClaimWanted]: (event, now) => coordinator.want(event, catchUp.membership(), now),
        [ClaimEventKind.Finished]: (event, now) => coordinator.finished(event.requestId, event.answer, now),
        [ClaimEventKind.NotRun]: (event, now) => coordinator.notRun(event.requestId, now),
        [ClaimEventKind.OutcomeUnknown]: event => {
            coordinator.forget(event.requestId);
            return [];
        },
        [ClaimEventKind.Message]: (event, now) => receive(event.message, event.fromHostId, now),
        [ClaimEventKind.Roster]: (event, now) => setRoster(event.roster, now),
        [ClaimEventKind.FirstStart]: () => {
            catchUp.firstStart();
            return [];
        },
        [ClaimEventKind.Tick]: (_event, now) => tick(now),
    };

    /** Delivers what the host sends to itself at once; the rest are the actions of the step. */
    const deliverOwn = (actions: ClaimAction[], now: number): ClaimAction[] => {
        const left: ClaimAction[] = [];
        const queue = [...actions];
        for (let action = queue.shift(); action !== undefined; action = queue.shift()) {
            if (action.kind === ClaimActionKind.Send && action.hostId === hostId) {
                queue.push(...receive(action.message, hostId, now));
            }
            else {
                left.push(action);
            }
        }
        return left;
    };

    const step = (event: ClaimEvent, now: number): ClaimAction[] => {
        const handle = eventHandlers[event.kind] as (event: ClaimEvent, now: number) => ClaimAction[];
        return deliverOwn(handle(event, now), now);
    };

    return { step, keys: () => store.size(), missing: now => catchUp.missing(now), unsettled: () => coordinator.unsettled() };
};
