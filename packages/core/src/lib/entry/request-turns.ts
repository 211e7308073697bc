/** Keeps requests that may end servers from going from one server to the next, and tells the other entry hosts what was seen. */
import { hash32 } from "../hash.js";
import { Admission, createRequestQuarantine, TurnState } from "../quarantine/index.js";
import type { RequestEvidence, RequestQuarantine, Turn } from "../quarantine/index.js";
import type { Random } from "../random.js";
import { LogEventKind } from "./entry-messages.js";
import type { RequestInfo } from "./entry-messages.js";

/** A change that the operator should know of. */
export interface QuarantineLogEvent {
    logEvent: LogEventKind;
    key: string;
    detail: string;
}

/** Options of {@link createRequestTurns}. */
export interface RequestTurnsCfg {
    random: Random;
    /** Number of members of a service's pool. */
    serverCount: (service: string) => number;
    /** Whether there are other hosts to tell. */
    hasPeers: () => boolean;
}

/** An attempt that has ended at a backend server. */
export interface EndedAttempt {
    info: RequestInfo;
    service: string;
    serverId: string;
    /** "host:port" of the server. */
    address: string;
    runMs: number;
    /** Whether the server answered completely. */
    isAnswered: boolean;
    /** Whether the server has ended. */
    hasServerEnded: boolean;
}

/** The turns of the requests of one entry host. Times are in milliseconds. */
export interface RequestTurns {
    /** Takes the turn of the request's next attempt. */
    take(info: RequestInfo, now: number): TurnState;
    /** Returns the requests that waited for their turn and need not any more. */
    settled(now: number): { requestId: string; state: TurnState; }[];
    isWaiting(requestId: string): boolean;
    /** Whether the request is neither suspected nor quarantined, so that it may be hedged and copied for probes. */
    isFree(info: RequestInfo, now: number): boolean;
    /** Time until a quarantined request may be tried again. */
    retryAfterMs(info: RequestInfo, now: number): number;
    /** Records what the end of an attempt shows; returns whether the request may be the cause of the server's end. */
    attemptEnded(attempt: EndedAttempt, now: number): boolean;
    /** Ends the turns of requests that are not open any more. */
    sweep(isOpen: (requestId: string) => boolean, now: number): void;
    receive(evidence: RequestEvidence, now: number): void;
    /** Returns and removes what other hosts are to be told. */
    takeEvidence(): RequestEvidence[];
    takeLogEvents(): QuarantineLogEvent[];
}

interface OpenTurn {
    turn: Turn;
    requestId: string;
    deadlineAt: number;
    isSettled: boolean;
}

/** Creates the turns of a host that suspects no request. */
export const createRequestTurns = (cfg: RequestTurnsCfg): RequestTurns => {
    let evidence: RequestEvidence[] = [];
    let logEvents: QuarantineLogEvent[] = [];
    let openTurns: OpenTurn[] = [];
    const quarantine: RequestQuarantine = createRequestQuarantine({
        random: cfg.random,
        serverCount: cfg.serverCount,
        isConnected: cfg.hasPeers,
        send: item => evidence.push(item),
        onQuarantineChanged: ({ key, serverCount, trials }, isLifted) =>
            logEvents.push({
                logEvent: isLifted ? LogEventKind.RequestCleared : LogEventKind.RequestQuarantined,
                key,
                detail: `${serverCount} servers, ${trials} trials`,
            }),
    });

    const poll = (open: OpenTurn, now: number): TurnState => {
        const state = quarantine.turnState(open.turn, now);
        open.isSettled = state !== TurnState.Waiting;
        if (state === TurnState.Denied) {
            quarantine.endTurn(open.turn, now);
            openTurns = openTurns.filter(other => other !== open);
        }
        return state;
    };

    const endTurns = (ended: readonly OpenTurn[], now: number): void => {
        openTurns = openTurns.filter(open => !ended.includes(open));
        ended.forEach(({ turn }) => quarantine.endTurn(turn, now));
    };

    return {
        take: ({ requestId, requestKey, deadlineAt }, now) => {
            const open = { turn: quarantine.takeTurn(requestKey, deadlineAt, now), requestId, deadlineAt, isSettled: false };
            openTurns.push(open);
            return poll(open, now);
        },
        settled: now =>
            openTurns.filter(({ isSettled }) => !isSettled).flatMap(open => {
                const state = poll(open, now);
                if (state === TurnState.Waiting && now >= open.deadlineAt) {
                    endTurns([open], now);
                    return [{ requestId: open.requestId, state: TurnState.Denied }];
                }
                return state === TurnState.Waiting ? [] : [{ requestId: open.requestId, state }];
            }),
        isWaiting: requestId => openTurns.some(open => open.requestId === requestId && !open.isSettled),
        isFree: ({ requestKey }, now) => quarantine.admit(requestKey, now).admission === Admission.Free,
        retryAfterMs: ({ requestKey }, now) => quarantine.admit(requestKey, now).retryAfterMs,
        attemptEnded: ({ info, service, serverId, address, runMs, isAnswered, hasServerEnded }, now) => {
            const { requestId, requestKey } = info;
            if (isAnswered) {
                quarantine.survived(requestKey, now);
            }
            if (hasServerEnded) {
                // Servers have no numbers here; every host derives the same one from the id.
                const server = { number: hash32(serverId), service, address };
                quarantine.serverEnded(requestKey, server, runMs, now, now);
            }
            endTurns(openTurns.filter(open => open.requestId === requestId && open.isSettled).slice(0, 1), now);
            return hasServerEnded && quarantine.mayBeCause(requestKey, service, now);
        },
        sweep: (isOpen, now) => endTurns(openTurns.filter(({ requestId }) => !isOpen(requestId)), now),
        receive: (item, now) => quarantine.apply(item, now),
        takeEvidence: () => {
            const taken = evidence;
            evidence = [];
            return taken;
        },
        takeLogEvents: () => {
            const taken = logEvents;
            logEvents = [];
            return taken;
        },
    };
};
