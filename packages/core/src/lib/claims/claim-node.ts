/** Combines the coordinator and the replica of one host, which together run each keyed request at most once. */
import { createCatchUpResponder } from "./catch-up-responder.js";
import { createCatchUp } from "./catch-up.js";
import { ClaimActionKind, ClaimEventKind, defaultClaimLimits } from "./claim-contract.js";
import type { ClaimAction, ClaimEvent, ClaimNode, ClaimNodeCfg } from "./claim-contract.js";
import { ClaimMessageKind } from "./claim-message.js";
import type { AddressedMessage, ClaimMessage } from "./claim-message.js";
import { createClaimStore } from "./claim-store.js";
import { createCoordinator } from "./coordinator.js";
import { createReplica } from "./replica.js";
import { createReplicaPlacement } from "./roster.js";
import type { ClaimRoster } from "./roster.js";

type MessageOf<K extends ClaimMessageKind> = Extract<ClaimMessage, { kind: K; }>;
type MessageHandlers = {
    [K in ClaimMessageKind]: (message: MessageOf<K>, fromHostId: string, now: number) => ClaimAction[];
};
type EventHandlers = {
    [K in ClaimEventKind]: (event: Extract<ClaimEvent, { kind: K; }>, now: number) => ClaimAction[];
};

const toActions = (messages: AddressedMessage[]): ClaimAction[] =>
    messages.map(({ hostId, message }) => ({ kind: ClaimActionKind.Send, hostId, message }));

/**
 * Creates the claim node of a process that has just started. It refuses every claim until a roster arrives. It gives no votes
 * until it has caught up or has received the event of the first start of its host.
 */
export const createClaimNode = (cfg: ClaimNodeCfg): ClaimNode => {
    const { hostId, incarnation, random } = cfg;
    const limits = { ...defaultClaimLimits, ...cfg.limits };
    const store = createClaimStore(limits);
    const catchUp = createCatchUp({ hostId, incarnation, limits, store });
    const catchUpResponder = createCatchUpResponder({ store, catchUp, pageRecords: limits.pageRecords });
    const replica = createReplica({ hostId, store, catchUp });
    const coordinator = createCoordinator({ hostId, incarnation, random, limits });

    const setRoster = (roster: ClaimRoster, now: number): ClaimAction[] => {
        const version = catchUp.placement()?.roster.version ?? -1;
        if (roster.version <= version) {
            return [];
        }
        const placement = createReplicaPlacement(roster);
        return [...toActions(catchUp.setPlacement(placement, now)), ...coordinator.handleRosterChange(placement, now)];
    };

    /**
     * Replies to a peer whose roster version differs, so that the host with the older roster gets the newer one first. Returns
     * `undefined` when the versions are equal.
     */
    const reconcileRosters = (theirVersion: number, fromHostId: string): AddressedMessage[] | undefined => {
        const roster = catchUp.placement()?.roster;
        if (roster === undefined) {
            return [];
        }
        if (roster.version === theirVersion) {
            return undefined;
        }
        const message: ClaimMessage = roster.version > theirVersion
            ? { kind: ClaimMessageKind.RosterSnapshot, roster }
            : { kind: ClaimMessageKind.RosterRequest };
        return [{ hostId: fromHostId, message }];
    };

    const sendRoster = (toHostId: string): ClaimAction[] => {
        const roster = catchUp.placement()?.roster;
        return roster === undefined
            ? []
            : toActions([{ hostId: toHostId, message: { kind: ClaimMessageKind.RosterSnapshot, roster } }]);
    };

    const messageHandlers: MessageHandlers = {
        [ClaimMessageKind.Claim]: (message, from, now) =>
            toActions(reconcileRosters(message.rosterVersion, from) ?? replica.claim(message, from, now)),
        [ClaimMessageKind.ClaimReply]: (message, from, now) => coordinator.handleReply(message, from, now),
        [ClaimMessageKind.Release]: (message, from, now) => toActions(replica.release(message, from, now)),
        [ClaimMessageKind.Finish]: (message, from, now) => toActions(replica.finish(message, from, now)),
        [ClaimMessageKind.Confirmed]: (message, from) => {
            coordinator.handleConfirmation(message.attemptId, from);
            return [];
        },
        [ClaimMessageKind.CatchUp]: (message, from, now) =>
            toActions(reconcileRosters(message.rosterVersion, from) ?? catchUpResponder.respond(message, from, now)),
        [ClaimMessageKind.CatchUpPage]: (message, from, now) => toActions(catchUp.receivePage(message, from, now)),
        [ClaimMessageKind.CatchUpRestart]: (message, from, now) => toActions(catchUp.restartSession(message.session, from, now)),
        [ClaimMessageKind.IncarnationUsed]: (message, _from, now) => toActions(catchUp.raiseIncarnation(message.highest, now)),
        [ClaimMessageKind.RosterRequest]: (_message, from) => sendRoster(from),
        // The first roster of a process must come from a linearizable read, which a peer can't provide.
        [ClaimMessageKind.RosterSnapshot]: (message, _from, now) =>
            catchUp.placement() === undefined ? [] : setRoster(message.roster, now),
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
        [ClaimEventKind.ClaimRequested]: (event, now) => coordinator.requestClaim(event, catchUp.placement(), now),
        [ClaimEventKind.Finished]: (event, now) => coordinator.handleFinished(event.requestId, event.answer, now),
        [ClaimEventKind.NotRun]: (event, now) => coordinator.handleNotRun(event.requestId, now),
        [ClaimEventKind.OutcomeUnknown]: event => {
            coordinator.handleOutcomeUnknown(event.requestId);
            return [];
        },
        [ClaimEventKind.Message]: (event, now) => receive(event.message, event.fromHostId, now),
        [ClaimEventKind.Roster]: (event, now) => setRoster(event.roster, now),
        [ClaimEventKind.FirstStart]: () => {
            catchUp.confirmFirstStart();
            return [];
        },
        [ClaimEventKind.Tick]: (_event, now) => tick(now),
    };

    /** Handles the messages that this host sends to itself at once, and returns the remaining actions. */
    const deliverLocally = (actions: ClaimAction[], now: number): ClaimAction[] => {
        const remaining: ClaimAction[] = [];
        const queue = [...actions];
        for (let action = queue.shift(); action !== undefined; action = queue.shift()) {
            if (action.kind === ClaimActionKind.Send && action.hostId === hostId) {
                queue.push(...receive(action.message, hostId, now));
            }
            else {
                remaining.push(action);
            }
        }
        return remaining;
    };

    const step = (event: ClaimEvent, now: number): ClaimAction[] => {
        const handle = eventHandlers[event.kind] as (event: ClaimEvent, now: number) => ClaimAction[];
        return deliverLocally(handle(event, now), now);
    };

    return {
        step,
        keys: () => store.size(),
        catchUpPendingHosts: now => catchUp.pendingHosts(now),
        unconfirmedMessages: () => coordinator.unconfirmedMessages(),
    };
};
