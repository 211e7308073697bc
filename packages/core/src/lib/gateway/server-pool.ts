/**
 * The backend servers as one entry host sees them, and the choice among them.
 *
 * An entry host sees too few requests to find a failing server by itself, so it uses the outcomes and the load that the
 * other hosts report. The choice weighs the chance of failure, the load and the distance in one unit: the share of a
 * request's worth that is expected to be lost.
 */
import { ServingState } from "../fleet/facts.js";
import type { FleetServer } from "../fleet/facts.js";
import type { Random } from "../random.js";
import { Repeatability } from "./gateway-config.js";
import { beliefAt, Sign, unknownBelief, updateBelief } from "./server-belief.js";
import type { Belief } from "./server-belief.js";

/** Where this host stands. */
export interface PoolPlace {
    availabilityZone: string;
    /** Regions by availability zone. */
    regions: Readonly<Record<string, string>>;
}

/** A server as chosen, with what decided it. */
export interface Choice {
    server: FleetServer;
    /** Probability that the server is failing, from 0 to 1. */
    failing: number;
    /** Requests under way there, as far as known. */
    load: number;
    /** Age of the newest sign, in milliseconds; `undefined` without one. */
    signAgeMs?: number;
}

/** What one host reports of one server: outcomes since the last report, and its requests under way. */
export interface ServerReport {
    number: number;
    successes: number;
    failures: number;
    inFlight: number;
}

/** Options of {@link createServerPool}. */
export interface ServerPoolCfg {
    place: PoolPlace;
    random: Random;
    /** Wall-clock time in milliseconds since 1970, for slow starts. */
    wallClock: () => number;
}

/** The servers as one entry host sees them. */
export interface ServerPool {
    /** Takes changed records, oldest first. */
    update(records: readonly FleetServer[]): void;
    /** The best server for a request of `service`, without those in `excluded`; `undefined` when there is none. */
    choose(service: string, repeatability: Repeatability, excluded: ReadonlySet<number>, now: number): Choice | undefined;
    /** Whether the servers of `service` have free slots, as far as known. */
    hasFreeSlots(service: string): boolean;
    began(number: number): void;
    /** A request is no longer under way; `sign` is what its outcome says of the server. */
    ended(number: number, sign: Sign | undefined, now: number): void;
    /** A request under way waits far longer than usual. */
    noteStuck(number: number, now: number): void;
    /** Another server answered at the address. */
    noteReplaced(number: number): void;
    /** Takes what another host reports. */
    takeReport(hostKey: string, report: ServerReport, now: number): void;
    /** Drops the load that a host has reported. */
    forgetHost(hostKey: string): void;
    /** Drops all load that hosts have reported. */
    forgetAllHosts(): void;
    /** What has changed since the last call. */
    drainReports(): ServerReport[];
    size(): number;
}

/** Expected loss by distance: bytes between availability zones and regions are billed. */
const distanceCost = { zone: 0, region: 0.05, elsewhere: 0.09 } as const;
/** A failed request that may be repeated costs time and one repeat. */
const failureCost: Record<Repeatability, number> = { [Repeatability.Repeatable]: 0.4, [Repeatability.AtMostOnce]: 1 };
/** Waiting for one whole turn of a slot. */
const waitCost = 0.25;
/** A slot that is the last one free: some servers slow down when nearly full. */
const nearlyFullCost = 0.03;
const coldCost = 0.12;
/** A server whose announcements have stopped: cut off, or crashed. */
const silentCost = 0.3;
/** Requests beyond the slots that a server queues before it declines; more are not sent there. */
const queueBeyondSlots = 9;
/** Spreads equal choices of many hosts. */
const jitter = 0.01;

interface Member {
    record: FleetServer;
    belief: Belief;
    signAt: number | undefined;
    own: number;
    /** Requests of other hosts under way, by host. */
    others: Map<string, number>;
    othersTotal: number;
    successes: number;
    failures: number;
    changed: boolean;
    replaced: boolean;
}

/** Creates the view of one entry host. */
export const createServerPool = (cfg: ServerPoolCfg): ServerPool => {
    const members = new Map<number, Member>();
    const byId = new Map<string, number>();
    const byService = new Map<string, Set<Member>>();
    const { availabilityZone, regions } = cfg.place;

    const remove = (member: Member): void => {
        members.delete(member.record.number);
        byService.get(member.record.service)?.delete(member);
    };

    const add = (record: FleetServer): void => {
        const member: Member = {
            record,
            belief: unknownBelief(0),
            signAt: undefined,
            own: 0,
            others: new Map(),
            othersTotal: 0,
            successes: 0,
            failures: 0,
            changed: false,
            replaced: false,
        };
        members.set(record.number, member);
        byId.set(record.serverId, record.number);
        const pool = byService.get(record.service) ?? new Set();
        pool.add(member);
        byService.set(record.service, pool);
    };

    const update = (records: readonly FleetServer[]): void => {
        for (const record of records) {
            const known = members.get(byId.get(record.serverId) ?? -1);
            if (known !== undefined && known.record.number !== record.number) {
                remove(known);
            }
            const same = members.get(record.number);
            if (record.state === ServingState.Gone) {
                if (same !== undefined) {
                    remove(same);
                }
                byId.delete(record.serverId);
            }
            else if (same === undefined) {
                add(record);
            }
            else {
                same.record = record;
            }
        }
    };

    const distanceOf = (zone: string): number => {
        if (zone === availabilityZone) {
            return distanceCost.zone;
        }
        return regions[zone] === regions[availabilityZone] ? distanceCost.region : distanceCost.elsewhere;
    };

    const costOf = (member: Member, repeatability: Repeatability, now: number): number => {
        const { record } = member;
        const load = member.own + member.othersTotal;
        const waiting = Math.max(0, load + 1 - record.slots);
        const isCold = cfg.wallClock() < record.warmAt;
        return failureCost[repeatability] * beliefAt(member.belief, now)
            + distanceOf(record.availabilityZone)
            + waitCost * waiting / record.slots
            + (load + 1 === record.slots ? nearlyFullCost : 0)
            + (isCold ? coldCost : 0)
            + (record.silent ? silentCost : 0)
            + jitter * cfg.random.next();
    };

    const isUsable = (member: Member, excluded: ReadonlySet<number>): boolean =>
        member.record.state === ServingState.Ready && !member.replaced && !excluded.has(member.record.number)
        && member.own + member.othersTotal < member.record.slots + queueBeyondSlots;

    const choose = (
        service: string,
        repeatability: Repeatability,
        excluded: ReadonlySet<number>,
        now: number,
    ): Choice | undefined => {
        let best: Member | undefined;
        let bestCost = Infinity;
        for (const member of byService.get(service) ?? []) {
            if (!isUsable(member, excluded)) {
                continue;
            }
            const cost = costOf(member, repeatability, now);
            if (cost < bestCost) {
                best = member;
                bestCost = cost;
            }
        }
        return best === undefined ? undefined : {
            server: best.record,
            failing: beliefAt(best.belief, now),
            load: best.own + best.othersTotal,
            signAgeMs: best.signAt === undefined ? undefined : now - best.signAt,
        };
    };

    const hasFreeSlots = (service: string): boolean => {
        let free = 0;
        for (const member of byService.get(service) ?? []) {
            if (member.record.state === ServingState.Ready) {
                free += member.record.slots - member.own - member.othersTotal;
            }
        }
        return free > 0;
    };

    const learn = (member: Member, sign: Sign, now: number): void => {
        member.belief = updateBelief(member.belief, sign, now);
        member.signAt = now;
    };

    return {
        update,
        choose,
        hasFreeSlots,
        began: number => {
            const member = members.get(number);
            if (member !== undefined) {
                member.own += 1;
                member.changed = true;
            }
        },
        ended: (number, sign, now) => {
            const member = members.get(number);
            if (member === undefined) {
                return;
            }
            member.own -= 1;
            member.changed = true;
            if (sign !== undefined) {
                learn(member, sign, now);
                member.successes += sign === Sign.Success ? 1 : 0;
                member.failures += sign === Sign.Failure ? 1 : 0;
            }
        },
        noteStuck: (number, now) => {
            const member = members.get(number);
            if (member !== undefined) {
                learn(member, Sign.Stuck, now);
                member.failures += 1;
                member.changed = true;
            }
        },
        noteReplaced: number => {
            const member = members.get(number);
            if (member !== undefined) {
                member.replaced = true;
            }
        },
        takeReport: (hostKey, report, now) => {
            const member = members.get(report.number);
            if (member === undefined) {
                return;
            }
            member.othersTotal += report.inFlight - (member.others.get(hostKey) ?? 0);
            if (report.inFlight === 0) {
                member.others.delete(hostKey);
            }
            else {
                member.others.set(hostKey, report.inFlight);
            }
            for (let count = 0; count < report.successes; count += 1) {
                learn(member, Sign.Success, now);
            }
            for (let count = 0; count < report.failures; count += 1) {
                learn(member, Sign.Failure, now);
            }
        },
        forgetHost: hostKey => {
            for (const member of members.values()) {
                member.othersTotal -= member.others.get(hostKey) ?? 0;
                member.others.delete(hostKey);
            }
        },
        forgetAllHosts: () => {
            for (const member of members.values()) {
                member.others.clear();
                member.othersTotal = 0;
            }
        },
        drainReports: () => {
            const reports: ServerReport[] = [];
            for (const member of members.values()) {
                if (member.changed) {
                    const { successes, failures, own } = member;
                    reports.push({ number: member.record.number, successes, failures, inFlight: own });
                    member.successes = 0;
                    member.failures = 0;
                    member.changed = false;
                }
            }
            return reports;
        },
        size: () => members.size,
    };
};
