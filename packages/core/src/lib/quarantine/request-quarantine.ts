/**
 * Keeps a request that ends the servers which run it from going from one server to the next, on one entry host.
 *
 * Patterns: a circuit breaker by request identity (the field's "query of death"), and mutual exclusion over the fleet for its
 * half-open state. A request is free until a server has ended under it. From then on it is a suspect: the fleet makes one
 * attempt of it at a time, until a complete answer clears it. Once enough servers have ended under it, it is quarantined: it is refused at once,
 * and after a while one trial shows whether the servers survive it now.
 *
 * Hosts tell each other what they see; each decides by itself, so neither an owner nor a majority is needed. Two hosts that want the
 * attempt at the same time see each other's claims while these settle, and the one with the lower token goes first.
 */
import type { Random } from "../random.js";
import { EvidenceKind } from "./request-evidence.js";
import type { EndedServer, RequestEvidence } from "./request-evidence.js";
import { createSurvivalMemory } from "./survival-memory.js";
import { createSuspectTable, trialDelayMs } from "./suspect-table.js";
import type { Quarantine, Suspect } from "./suspect-table.js";

export enum Admission {
    /** The request may be sent like any other. */
    Free = "free",
    /** One attempt at a time over the whole fleet, without hedges. */
    Suspected = "suspected",
    /** The request is refused. */
    Quarantined = "quarantined",
}

/** What a request may do; `retryAfterMs` and `serverCount` are set if it is quarantined. */
export interface AdmissionResult {
    admission: Admission;
    /** Time until the request may be tried again, in milliseconds. */
    retryAfterMs: number;
    /** Servers that have ended under the request. */
    serverCount: number;
}

/** A place in the order of attempts of one request; while the request is free, attempts need not wait for each other. */
export interface Turn {
    key: string;
    token: number;
    expiresAt: number;
    /** When the claim is granted if no other host has a better one; `undefined` before it is made. */
    settlesAt: number | undefined;
    isGranted: boolean;
    /** Whether it is the trial of a quarantined request. */
    isTrial: boolean;
}

export enum TurnState {
    Granted = "granted",
    Waiting = "waiting",
    /** The request is quarantined, so no attempt will follow. */
    Denied = "denied",
}

/** A quarantined request, as hosts and state hosts exchange it. Times are in milliseconds. */
export interface QuarantinedRequest {
    key: string;
    trialInMs: number;
    trials: number;
    serverCount: number;
}

/** Options of {@link createRequestQuarantine}. */
export interface RequestQuarantineCfg {
    random: Random;
    /** Number of servers of a service that take requests. */
    serverCount: (service: string) => number;
    /** Tells the other hosts. */
    send: (evidence: RequestEvidence) => void;
    /** Whether other hosts can be told now; a claim of a host that is alone needs no time to settle. */
    isConnected: () => boolean;
    /** Called when this host has put a request into quarantine, has postponed its trial, or has found that servers survive it. */
    onQuarantineChanged: (request: QuarantinedRequest, isLifted: boolean) => void;
}

/** The requests that may end servers, on one entry host. Times are in milliseconds of the host's clock. */
export interface RequestQuarantine {
    admit(key: string, now: number): AdmissionResult;
    /** Takes a place in the order of attempts of a request, before each attempt; the caller must end the turn. */
    takeTurn(key: string, deadlineAt: number, now: number): Turn;
    /** Returns whether the attempt may start; to be called at least each {@link turnPollMs} while it waits. */
    turnState(turn: Turn, now: number): TurnState;
    /** Gives the place up, after the attempt's end has been recorded or without an attempt. */
    endTurn(turn: Turn, now: number): void;
    /** Records that a server ended at `endedAt`, when this host's request had been at it for `runMs`. */
    serverEnded(key: string, server: EndedServer, runMs: number, endedAt: number, now: number): void;
    /** Records that a server answered the request completely. */
    survived(key: string, now: number): void;
    /**
     * Whether a request under which a server has just ended may be the cause: none answered it lately, and no other server of the
     * service has ended lately without it.
     */
    mayBeCause(key: string, service: string, now: number): boolean;
    /** Applies what another host has seen. */
    apply(evidence: RequestEvidence, now: number): void;
    /** Replaces what the state hosts have recorded. */
    setRecorded(requests: readonly QuarantinedRequest[], now: number): void;
    /** The quarantined requests, to be recorded again by state hosts that have lost them. */
    quarantined(now: number): QuarantinedRequest[];
    /** Number of suspected requests, with the quarantined ones. */
    suspectCount(): number;
}

/** Interval at which a waiting turn asks for its state, in milliseconds. */
export const turnPollMs = 20;
/** Time in which hosts learn of each other's claims, in milliseconds: two hops between regions on busy hosts. */
const settleMs = 80;
/** Time until the reports of all hosts about one end have arrived, in milliseconds; some of them may speak for a request. */
const reportDelayMs = 75;
/** Longest time for which a claim is believed without its release, in milliseconds; its host may have been lost. */
const maxClaimMs = 4000;
/** A complete answer within this time before an end speaks for the request, in milliseconds. */
const vouchMs = 60_000;
/** Shortest `Retry-After` of a quarantined request, in milliseconds. */
const minRetryAfterMs = 1000;
/** For this long after a complete answer, the records of the state hosts may still hold the request, in milliseconds. */
const recordDelayMs = 10_000;
const tokenRange = 2 ** 31;

/** Another host's claim. */
interface RemoteClaim {
    token: number;
    expiresAt: number;
    isGranted: boolean;
}

/** Creates the quarantine of a host that suspects no request. */
export const createRequestQuarantine = (cfg: RequestQuarantineCfg): RequestQuarantine => {
    const table = createSuspectTable(cfg);
    const survivals = createSurvivalMemory(vouchMs);
    const turns = new Map<string, Turn[]>();
    let recordedKeys: ReadonlySet<string> = new Set();
    const remoteClaims = new Map<string, RemoteClaim[]>();

    const isSuspected = ({ ends, survivedAt }: Suspect, now: number): boolean =>
        ends.length > (survivedAt !== undefined && now - survivedAt <= vouchMs ? 1 : 0);

    const asRequest = ({ key }: Suspect, { trialAt, trials, serverCount }: Quarantine, now: number): QuarantinedRequest => ({
        key,
        trialInMs: Math.max(0, trialAt - now),
        trials,
        serverCount,
    });

    const reportChange = (key: string, now: number): void => {
        const suspect = table.find(key);
        if (suspect?.quarantine !== undefined) {
            cfg.onQuarantineChanged(asRequest(suspect, suspect.quarantine, now), false);
        }
    };

    const setClaims = (key: string, claims: RemoteClaim[]): void => {
        if (claims.length === 0) {
            remoteClaims.delete(key);
        }
        else {
            remoteClaims.set(key, claims);
        }
    };

    const claimsOf = (key: string, now: number): RemoteClaim[] => {
        const claims = (remoteClaims.get(key) ?? []).filter(({ expiresAt }) => expiresAt > now);
        setClaims(key, claims);
        return claims;
    };

    /** Whether a host of the fleet has an attempt of the request in flight, as far as this host knows. */
    const isInFlight = (key: string, now: number): boolean =>
        claimsOf(key, now).some(({ isGranted }) => isGranted)
        || (turns.get(key) ?? []).some(({ isGranted, expiresAt }) => isGranted && expiresAt > now);

    /** Puts a request into quarantine once the evidence against it, which was complete at `asOf`, suffices. */
    const decide = (key: string, asOf: number, now: number): void => {
        const suspect = table.find(key);
        const mayBeGuilty = suspect !== undefined && suspect.quarantine === undefined && suspect.changedAt <= asOf;
        // An attempt in flight may still show that a server survives the request.
        if (!mayBeGuilty || isInFlight(key, now) || !table.isGuilty(suspect)) {
            return;
        }
        const serverCount = suspect.ends.length;
        table.setQuarantine(key, { since: now, trialAt: now + trialDelayMs(0), trials: 0, serverCount }, now);
        reportChange(key, now);
    };

    const admit = (key: string, now: number): AdmissionResult => {
        decide(key, now - (cfg.isConnected() ? reportDelayMs : 0), now);
        const suspect = table.find(key);
        if (suspect?.quarantine !== undefined) {
            const { trialAt, serverCount } = suspect.quarantine;
            const retryAfterMs = Math.max(minRetryAfterMs, trialAt - now);
            return { admission: Admission.Quarantined, retryAfterMs, serverCount };
        }
        const admission = suspect !== undefined && isSuspected(suspect, now) ? Admission.Suspected : Admission.Free;
        return { admission, retryAfterMs: 0, serverCount: suspect?.ends.length ?? 0 };
    };

    const isTrialDue = (key: string, now: number): boolean => {
        const quarantine = table.find(key)?.quarantine;
        return quarantine !== undefined && now >= quarantine.trialAt;
    };

    /** Whether the request of the turn may be attempted at all; a trial that is due is. */
    const mayAttempt = ({ key, isTrial }: Turn, now: number): boolean =>
        table.find(key)?.quarantine === undefined || (isTrial && isTrialDue(key, now));

    const sendClaim = (turn: Turn, now: number): void =>
        cfg.send({
            kind: EvidenceKind.Claimed,
            key: turn.key,
            token: turn.token,
            remainingMs: turn.expiresAt - now,
            isGranted: turn.isGranted,
        });

    /** Claims the attempts that this host started while the request was free, so that other hosts wait for them. */
    const claimStarted = (key: string, now: number): void => {
        for (const turn of turns.get(key) ?? []) {
            if (turn.isGranted && turn.settlesAt === undefined) {
                turn.settlesAt = now;
                sendClaim(turn, now);
            }
        }
    };

    const withdraw = (turn: Turn): void => {
        if (turn.settlesAt !== undefined) {
            turn.settlesAt = undefined;
            cfg.send({ kind: EvidenceKind.Released, key: turn.key, token: turn.token, trials: 0 });
        }
    };

    /** Whether another attempt goes first: one in flight, an earlier turn of this host, or a host's claim with a lower token. */
    const mustYield = (turn: Turn, now: number): boolean =>
        turns.get(turn.key)?.find(({ expiresAt }) => expiresAt > now) !== turn
        || claimsOf(turn.key, now).some(claim => claim.isGranted || claim.token < turn.token || turn.settlesAt === undefined);

    const turnState = (turn: Turn, now: number): TurnState => {
        if (turn.isGranted) {
            return TurnState.Granted;
        }
        if (!mayAttempt(turn, now)) {
            return TurnState.Denied;
        }
        const isCleared = admit(turn.key, now).admission === Admission.Free;
        if (!isCleared && mustYield(turn, now)) {
            withdraw(turn);
            return TurnState.Waiting;
        }
        if (!isCleared && turn.settlesAt === undefined) {
            turn.settlesAt = cfg.isConnected() ? now + settleMs : now;
            sendClaim(turn, now);
        }
        if (!isCleared && now < turn.settlesAt!) {
            return TurnState.Waiting;
        }
        decide(turn.key, now, now);
        if (!mayAttempt(turn, now)) {
            return TurnState.Denied;
        }
        turn.isGranted = true;
        return TurnState.Granted;
    };

    /** Postpones the next trial after one that has not cleared the request. */
    const postpone = (key: string, trials: number, now: number): void => {
        const quarantine = table.find(key)?.quarantine;
        if (quarantine !== undefined && trials > quarantine.trials) {
            table.setQuarantine(key, { ...quarantine, trials, trialAt: now + trialDelayMs(trials) }, now);
        }
    };

    const endTurn = (turn: Turn, now: number): void => {
        const remaining = (turns.get(turn.key) ?? []).filter(other => other !== turn);
        if (remaining.length === 0) {
            turns.delete(turn.key);
        }
        else {
            turns.set(turn.key, remaining);
        }
        const quarantine = table.find(turn.key)?.quarantine;
        const trials = turn.isTrial && turn.isGranted && quarantine !== undefined ? quarantine.trials + 1 : 0;
        postpone(turn.key, trials, now);
        if (trials > 0) {
            reportChange(turn.key, now);
        }
        if (turn.settlesAt !== undefined) {
            cfg.send({ kind: EvidenceKind.Released, key: turn.key, token: turn.token, trials });
        }
    };

    const applySurvival = (key: string, survivedAt: number, now: number): void => {
        const suspect = table.find(key);
        const quarantine = suspect?.quarantine;
        table.survived(key, survivedAt, now);
        if (suspect !== undefined && quarantine !== undefined && suspect.quarantine === undefined) {
            cfg.onQuarantineChanged(asRequest(suspect, quarantine, now), true);
        }
    };

    /** Speaks for a request that a server has answered to this host, unless another host has done so. */
    const vouch = (key: string, now: number): void => {
        const survivedAt = survivals.survivedAt(key, now);
        const known = table.find(key)?.survivedAt ?? -Infinity;
        if (survivedAt !== undefined && survivedAt > known) {
            table.survived(key, survivedAt, now);
            cfg.send({ kind: EvidenceKind.Survived, key, ageMs: now - survivedAt });
        }
    };

    type Handlers = { [K in EvidenceKind]: (evidence: Extract<RequestEvidence, { kind: K; }>, now: number) => void; };
    const handlers: Handlers = {
        [EvidenceKind.ServerEnded]: ({ key, server, runMs, ageMs }, now) => {
            table.addEnd(key, { server, runMs, endedAt: now - ageMs }, now);
            vouch(key, now);
            claimStarted(key, now);
        },
        [EvidenceKind.Survived]: ({ key, ageMs }, now) => table.survived(key, now - ageMs, now),
        [EvidenceKind.Claimed]: ({ key, token, remainingMs, isGranted }, now) => {
            const others = claimsOf(key, now).filter(claim => claim.token !== token);
            remoteClaims.set(key, [...others, { token, isGranted, expiresAt: now + Math.min(maxClaimMs, remainingMs) }]);
            const own = turns.get(key)?.find(turn => turn.isGranted && turn.settlesAt !== undefined);
            // The other host may have made its claim before it could learn of this one.
            if (own !== undefined && !isGranted) {
                sendClaim(own, now);
            }
        },
        [EvidenceKind.Released]: ({ key, token, trials }, now) => {
            setClaims(key, claimsOf(key, now).filter(claim => claim.token !== token));
            postpone(key, trials, now);
        },
    };

    return {
        admit,
        takeTurn: (key, deadlineAt, now) => {
            const turn: Turn = {
                key,
                token: cfg.random.below(tokenRange),
                expiresAt: Math.min(deadlineAt, now + maxClaimMs),
                settlesAt: undefined,
                isGranted: false,
                isTrial: isTrialDue(key, now),
            };
            turns.set(key, [...turns.get(key) ?? [], turn]);
            return turn;
        },
        turnState,
        endTurn,
        serverEnded: (key, server, runMs, endedAt, now) => {
            table.addEnd(key, { server, runMs, endedAt }, now);
            cfg.send({ kind: EvidenceKind.ServerEnded, key, server, runMs, ageMs: now - endedAt });
            vouch(key, now);
            claimStarted(key, now);
        },
        survived: (key, now) => {
            survivals.record(key, now);
            const suspect = table.find(key);
            if (suspect !== undefined && (suspect.ends.length > 0 || suspect.quarantine !== undefined)) {
                applySurvival(key, now, now);
                cfg.send({ kind: EvidenceKind.Survived, key, ageMs: 0 });
            }
        },
        mayBeCause: (key, service, now) => admit(key, now).admission !== Admission.Free && !table.hasOtherEnds(key, service, now),
        apply: (evidence, now) => {
            // The handler is looked up by the kind of the evidence, which the compiler can't follow.
            (handlers[evidence.kind] as (evidence: RequestEvidence, now: number) => void)(evidence, now);
        },
        setRecorded: (requests, now) => {
            const keys = new Set(requests.map(({ key }) => key));
            recordedKeys.forEach(key => {
                if (!keys.has(key)) {
                    table.remove(key);
                }
            });
            recordedKeys = keys;
            for (const { key, trialInMs, trials, serverCount } of requests) {
                const suspect = table.find(key);
                const known = suspect?.quarantine;
                const isLifted = suspect?.survivedAt !== undefined && now - suspect.survivedAt < recordDelayMs;
                if ((known === undefined && !isLifted) || (known !== undefined && trials > known.trials)) {
                    table.setQuarantine(key, { since: now, trialAt: now + trialInMs, trials, serverCount }, now);
                }
            }
        },
        quarantined: now => table.quarantined().map(suspect => asRequest(suspect, suspect.quarantine!, now)),
        suspectCount: () => table.size(),
    };
};
