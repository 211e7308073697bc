/**
 * The backend servers as one entry host sees them, and the choice among them.
 *
 * An entry host sees too few requests to find a failing server by itself, so it uses the outcomes and the load that the
 * other hosts report. The choice weighs the chance of failure, the load and the distance in one unit: the share of a
 * request's worth that is expected to be lost.
 */
import { ServingState } from "../fleet/facts.js";
import type { FleetServer } from "../fleet/facts.js";
import { defaultChoiceWeights } from "./choice-weights.js";
import { Repeatability } from "./gateway-config.js";
import { beliefAt, Sign, unknownBelief, updateBelief } from "./server-belief.js";
import type { Belief } from "./server-belief.js";
import type { Choice, ServerPool, ServerPoolCfg, ServerReport } from "./server-pool-contract.js";
import { createServiceTrouble } from "./service-trouble.js";

/** A server that has been warm for longer than this is not new any more, in milliseconds. */
const newMs = 6000;
/** A server without any request for this long is idle, in milliseconds. */
const idleMs = 1600;
/** Servers that fail by themselves are given this long to recover before they are tried, in milliseconds. */
const recoveryMs = 2500;
/** The usual load is a mean over this time, in milliseconds. */
const usualLoadMs = 2000;
/** Share of slots taken to be in use where the own availability zone has no server. */
const unknownLoadShare = 0.4;

interface Member {
    record: FleetServer;
    belief: Belief;
    signAt: number | undefined;
    /** When a request was last known to be under way there, and when one was last known to fail. */
    usedAt: number;
    failedAt: number;
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
    const trouble = createServiceTrouble(Object.keys(regions).length);
    const weights = cfg.weights ?? defaultChoiceWeights;

    const remove = (member: Member): void => {
        members.delete(member.record.number);
        byService.get(member.record.service)?.delete(member);
    };

    const add = (record: FleetServer): void => {
        const member: Member = {
            record,
            belief: unknownBelief(0, weights.belief),
            signAt: undefined,
            usedAt: -Infinity,
            failedAt: -Infinity,
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
            if (record.state === ServingState.Departed) {
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
            return weights.zone;
        }
        return regions[zone] === regions[availabilityZone] ? weights.region : weights.elsewhere;
    };

    /** Share of the slots of the own availability zone that is usually taken, by service. */
    const usualLoad = new Map<string, { share: number; at: number; }>();

    const noteUsualLoad = (service: string, now: number): number => {
        let taken = 0;
        let slots = 0;
        for (const member of byService.get(service) ?? []) {
            if (member.record.availabilityZone === availabilityZone && member.record.state === ServingState.Ready) {
                taken += member.own + member.othersTotal;
                slots += member.record.slots;
            }
        }
        const share = slots === 0 ? unknownLoadShare : Math.min(1, taken / slots);
        const usual = usualLoad.get(service) ?? { share, at: now };
        const kept = Math.exp(-(now - usual.at) / usualLoadMs);
        usual.share = usual.share * kept + share * (1 - kept);
        usual.at = now;
        usualLoad.set(service, usual);
        return usual.share;
    };

    /** Only the load of the own availability zone is reported; elsewhere it is taken to be as usual here. */
    const loadOf = (member: Member, usualShare: number): number => {
        const known = member.own + member.othersTotal;
        return member.record.availabilityZone === availabilityZone ? known : known + usualShare * member.record.slots;
    };

    const costOf = (member: Member, repeatability: Repeatability, usualShare: number, now: number): number => {
        const { record } = member;
        const load = loadOf(member, usualShare);
        const waiting = Math.max(0, load + 1 - record.slots);
        const isCold = cfg.wallClock() < record.warmAt;
        return weights.failure[repeatability] * Math.max(weights.soundEnough, beliefAt(member.belief, now, weights.belief))
            + weights.load * load / record.slots
            + distanceOf(record.availabilityZone)
            + weights.wait * waiting / record.slots
            + (load + 1 > record.slots - 1 && waiting === 0 ? weights.nearlyFull : 0)
            + (isCold ? weights.cold : 0)
            + (record.silent ? weights.silent : 0)
            + weights.jitter * cfg.random.next();
    };

    /**
     * Servers without news look worse than those in use, so few come to carry a service. Those left out may have recovered:
     * each that has been idle for a while is tried, by requests that may be repeated, and by others while the service fails
     * many.
     */
    const deservesTrial = (member: Member, now: number): boolean =>
        member.record.availabilityZone === availabilityZone && !member.record.silent
        && now - member.usedAt > idleMs && now - member.failedAt > recoveryMs;

    /** A server that joined and has warmed up gets a first request soon, or nobody would know that it serves. */
    const isNew = (member: Member): boolean => {
        const warmForMs = cfg.wallClock() - member.record.warmAt;
        return member.usedAt === -Infinity && member.record.availabilityZone === availabilityZone && !member.record.silent
            && warmForMs >= 0 && warmForMs < newMs;
    };

    const isUsable = (member: Member, excluded: ReadonlySet<number>): boolean =>
        member.record.state === ServingState.Ready && !member.replaced && !excluded.has(member.record.number)
        && member.own + member.othersTotal < member.record.slots + weights.queueBeyondSlots;

    const choose = (
        service: string,
        repeatability: Repeatability,
        excluded: ReadonlySet<number>,
        now: number,
    ): Choice | undefined => {
        const usualShare = noteUsualLoad(service, now);
        const mayTry = repeatability === Repeatability.Repeatable || trouble.isTroubled(service, now);
        let best: Member | undefined;
        let bestCost = Infinity;
        for (const member of byService.get(service) ?? []) {
            if (!isUsable(member, excluded)) {
                continue;
            }
            const isTrial = isNew(member) || (mayTry && deservesTrial(member, now));
            const cost = costOf(member, repeatability, usualShare, now) - (isTrial ? weights.trial : 0);
            if (cost < bestCost) {
                best = member;
                bestCost = cost;
            }
        }
        return best === undefined ? undefined : {
            server: best.record,
            failing: beliefAt(best.belief, now, weights.belief),
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
        member.belief = updateBelief(member.belief, sign, now, weights.belief);
        member.signAt = now;
        if (sign === Sign.Failure) {
            member.failedAt = now;
        }
        if (sign !== Sign.Stuck) {
            member.usedAt = now;
        }
    };

    return {
        update,
        choose,
        hasFreeSlots,
        began: (number, now) => {
            const member = members.get(number);
            if (member !== undefined) {
                member.own += 1;
                member.usedAt = now;
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
                trouble.note(member.record.service, sign, now);
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
            if (report.inFlight > 0) {
                member.usedAt = now;
            }
            member.othersTotal += report.inFlight - (member.others.get(hostKey) ?? 0);
            if (report.inFlight === 0) {
                member.others.delete(hostKey);
            }
            else {
                member.others.set(hostKey, report.inFlight);
            }
            const signs = [
                ...Array<Sign>(report.successes).fill(Sign.Success),
                ...Array<Sign>(report.failures).fill(Sign.Failure),
            ];
            for (const sign of signs) {
                learn(member, sign, now);
                trouble.note(member.record.service, sign, now);
            }
        },
        takeFailures: (report, now) => {
            const member = members.get(report.number);
            if (member !== undefined) {
                Array<Sign>(report.failures).fill(Sign.Failure).forEach(sign => learn(member, sign, now));
                trouble.noteElsewhere(member.record.service, report.failures, now);
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
