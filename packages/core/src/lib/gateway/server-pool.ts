/**
 * Tracks the backend servers known to one entry host, and selects a server for each request.
 *
 * One entry host receives too few requests to detect a failing server by itself, so it also uses the outcomes and the load
 * that other hosts report. The selection minimizes a cost that combines failure probability, load and distance in one unit:
 * the fraction of a request's value that is expected to be lost.
 */
import { ServingState } from "../fleet/facts.js";
import type { FleetServer } from "../fleet/facts.js";
import { addFailureEvidence, ServerObservation, updateFailureEstimate } from "./failure-estimate.js";
import { Repeatability } from "./gateway-config.js";
import { chooseNearEqual } from "./near-equal-choice.js";
import type { Candidate } from "./near-equal-choice.js";
import { createPoolMember, failureProbabilityOf, setHostLoad } from "./pool-member.js";
import type { PoolMember } from "./pool-member.js";
import { createSelectionCost } from "./selection-cost.js";
import { defaultSelectionWeights } from "./selection-weights.js";
import type { ServerChoice, ServerPool, ServerPoolCfg, ServerReport } from "./server-pool-types.js";
import { createServiceDegradationTracker } from "./service-degradation-tracker.js";
import { createUtilizationTracker } from "./utilization-tracker.js";
import { hangEvidence } from "./wait-evidence.js";

/** A server counts as newly warmed up for this long after its slow start. */
const newServerMs = 6000;

/** Creates the pool of one entry host. */
export const createServerPool = (cfg: ServerPoolCfg): ServerPool => {
    const members = new Map<number, PoolMember>();
    const numberByServerId = new Map<string, number>();
    const membersByService = new Map<string, Set<PoolMember>>();
    const { availabilityZone, regions } = cfg.locality;
    const degradation = createServiceDegradationTracker(Object.keys(regions).length);
    const weights = cfg.weights ?? defaultSelectionWeights;

    const remove = (member: PoolMember): void => {
        members.delete(member.record.number);
        membersByService.get(member.record.service)?.delete(member);
    };

    const add = (record: FleetServer): void => {
        const member = createPoolMember(record, weights.failureEstimate, cfg.random);
        members.set(record.number, member);
        numberByServerId.set(record.serverId, record.number);
        const serviceMembers = membersByService.get(record.service) ?? new Set();
        serviceMembers.add(member);
        membersByService.set(record.service, serviceMembers);
    };

    const update = (records: readonly FleetServer[]): void => {
        for (const record of records) {
            const previous = members.get(numberByServerId.get(record.serverId) ?? -1);
            if (previous !== undefined && previous.record.number !== record.number) {
                remove(previous);
            }
            const existing = members.get(record.number);
            if (record.state === ServingState.Departed) {
                if (existing !== undefined) {
                    remove(existing);
                }
                numberByServerId.delete(record.serverId);
            }
            else if (existing === undefined) {
                add(record);
            }
            else {
                existing.record = record;
            }
        }
    };

    const utilizations = createUtilizationTracker(availabilityZone);

    const expectedCost = createSelectionCost(cfg, weights);

    /**
     * Whether an idle server may have recovered and should be probed. Without recent observations a server's estimate is
     * worse than that of servers in use, so a service's requests would concentrate on few servers. Requests that may be
     * repeated always probe; others only while the service is degraded.
     */
    const isProbeDue = (member: PoolMember, isDegraded: boolean, now: number): boolean =>
        member.record.availabilityZone === availabilityZone && !member.record.silent
        && member.probes.isDue(member, isDegraded, now);

    /** Whether a server has just warmed up and needs a first request, without which no host would observe that it is healthy. */
    const isNewlyWarm = (member: PoolMember): boolean => {
        const warmForMs = cfg.wallClock() - member.record.warmAt;
        return member.lastUsedAt === -Infinity && member.record.availabilityZone === availabilityZone && !member.record.silent
            && member.probes.isFirstRequestDue(warmForMs) && warmForMs < newServerMs;
    };

    const isWithinLimit = (member: PoolMember, now: number): boolean => cfg.limits?.maySend(member.record.number, now) ?? true;

    const isLeaving = (member: PoolMember): boolean => member.record.state !== ServingState.Ready || member.isLeaving;

    const isReady = (member: PoolMember, now: number): boolean =>
        !isLeaving(member) && !member.isReplaced && now >= member.restsUntil;

    const isUsable = (member: PoolMember, excluded: ReadonlySet<number>, now: number): boolean =>
        isReady(member, now) && !excluded.has(member.record.number) && (cfg.isReachable?.(member.record) ?? true)
        && isWithinLimit(member, now)
        && member.ownInFlight + member.otherHostsInFlight < member.record.slots + weights.maxRequestsBeyondSlots;

    /** Whether a refusal is better for the caller than an attempt at this server. */
    const isRefusalBetter = (member: PoolMember, repeatability: Repeatability, now: number): boolean =>
        repeatability === Repeatability.AtMostOnce && cfg.limits?.isLimited(member.record.number) === true
        && failureProbabilityOf(member, now, weights.failureEstimate) > weights.maxLimitedFailureProbability;

    const choose = (
        service: string,
        repeatability: Repeatability,
        excluded: ReadonlySet<number>,
        now: number,
    ): ServerChoice | undefined => {
        const utilization = utilizations.update(service, membersByService.get(service) ?? [], now);
        const isDegraded = degradation.isDegraded(service, now);
        const mayProbe = repeatability === Repeatability.Repeatable || isDegraded;
        const candidates: Candidate<PoolMember>[] = [];
        for (const member of membersByService.get(service) ?? []) {
            if (!isUsable(member, excluded, now)) {
                continue;
            }
            const isProbe = isNewlyWarm(member) || (mayProbe && isProbeDue(member, isDegraded, now));
            if (!isProbe && isRefusalBetter(member, repeatability, now)) {
                continue;
            }
            const cost = expectedCost(member, repeatability, utilization, now) - (isProbe ? weights.probe : 0);
            candidates.push({ value: member, group: member.record.availabilityZone, cost });
        }
        const best = chooseNearEqual(candidates, weights.nearEqual, cfg.random);
        return best === undefined ? undefined : {
            server: best.record,
            failureProbability: failureProbabilityOf(best, now, weights.failureEstimate),
            load: best.ownInFlight + best.otherHostsInFlight,
            observationAgeMs: best.lastObservationAt === undefined ? undefined : now - best.lastObservationAt,
        };
    };

    const hasFreeSlots = (service: string, now: number): boolean => {
        let freeSlots = 0;
        for (const member of membersByService.get(service) ?? []) {
            if (isReady(member, now) && isWithinLimit(member, now)) {
                freeSlots += member.record.slots - member.ownInFlight - member.otherHostsInFlight;
            }
        }
        return freeSlots > 0;
    };

    const markUsed = (member: PoolMember, now: number): void => {
        member.lastUsedAt = now;
        member.probes.used();
    };

    const recordObservation = (member: PoolMember, observation: ServerObservation, now: number): void => {
        member.failureEstimate = updateFailureEstimate(member.failureEstimate, observation, now, weights.failureEstimate);
        member.lastObservationAt = now;
        if (observation === ServerObservation.Failure) {
            member.lastFailureAt = now;
            member.probes.failed(now);
        }
        if (observation === ServerObservation.Success) {
            member.probes.succeeded();
        }
        if (observation !== ServerObservation.Declined) {
            markUsed(member, now);
        }
    };

    /** Records hangs in the own availability zone that began or, if negative, that were answered after all. */
    const recordHangs = (member: PoolMember, hangs: number, now: number): void => {
        addHangEvidence(member, hangs, now);
        degradation.recordHangs(member.record.service, hangs, now);
    };

    /** Adds the evidence of hangs in any zone, or takes it back. */
    const addHangEvidence = (member: PoolMember, hangs: number, now: number): void => {
        if (hangs === 0) {
            return;
        }
        const { failureEstimate } = member;
        member.failureEstimate = addFailureEvidence(failureEstimate, hangs * hangEvidence, now, weights.failureEstimate);
        member.lastObservationAt = now;
        if (hangs > 0) {
            member.lastFailureAt = now;
            member.probes.failed(now);
        }
    };

    /** Calls `apply` with the server of the number, unless it has left. */
    const withMember = (number: number, apply: (member: PoolMember) => void): void => {
        const member = members.get(number);
        if (member !== undefined) {
            apply(member);
        }
    };

    /** Turns long waits of this host into hangs, and makes a report due when the evidence of the others has changed. */
    const updateWaits = (member: PoolMember, now: number): void => {
        const hangs = member.waits.takeHangs(now);
        recordHangs(member, hangs, now);
        member.hangs += hangs;
        member.isReportDue ||= hangs > 0 || member.waits.level(now) !== member.reportedLevel;
    };

    return {
        update,
        choose,
        readyServers: (service, now) =>
            [...(service === undefined ? members.values() : membersByService.get(service) ?? [])]
                .filter(member => isReady(member, now)).map(({ record }) => record),
        hasFreeSlots,
        requestStarted: (number, now, survival) => {
            const member = members.get(number);
            if (member !== undefined) {
                member.ownInFlight += 1;
                if (survival !== undefined) {
                    member.waits.started(now, survival);
                }
                markUsed(member, now);
                member.isReportDue = true;
                cfg.limits?.requestStarted(number, now);
            }
        },
        requestEnded: (number, observation, now, startedAt) => {
            const member = members.get(number);
            if (member === undefined) {
                return;
            }
            member.ownInFlight -= 1;
            member.isReportDue = true;
            updateWaits(member, now);
            const wasHang = startedAt !== undefined && member.waits.ended(startedAt);
            if (wasHang && observation === ServerObservation.Success) {
                recordHangs(member, -1, now);
                member.hangs -= 1;
            }
            if (observation !== undefined) {
                recordObservation(member, observation, now);
                degradation.record(member.record.service, observation, now);
                member.successes += observation === ServerObservation.Success ? 1 : 0;
                member.failures += observation === ServerObservation.Failure ? 1 : 0;
            }
        },
        recordConnectFailure: (number, isShared, now) => {
            const member = members.get(number);
            if (member !== undefined) {
                recordObservation(member, ServerObservation.Failure, now);
                degradation.record(member.record.service, ServerObservation.Failure, now);
                member.failures += isShared ? 1 : 0;
                member.isReportDue ||= isShared;
            }
        },
        recordRest: (number, until) =>
            withMember(number, member => {
                member.restsUntil = Math.max(member.restsUntil, until);
            }),
        recordLeaving: number =>
            withMember(number, member => {
                member.isLeaving = true;
            }),
        leavingServers: service => [...membersByService.get(service) ?? []].filter(isLeaving).map(({ record }) => record.number),
        markReplaced: number =>
            withMember(number, member => {
                member.isReplaced = true;
            }),
        applyReport: (hostKey, report, now) => {
            const member = members.get(report.number);
            if (member === undefined) {
                return;
            }
            if (report.inFlight > 0) {
                markUsed(member, now);
            }
            setHostLoad(member, hostKey, report.inFlight);
            member.waits.setHostLevel(hostKey, report.waitLevel ?? 0);
            recordHangs(member, report.hangs ?? 0, now);
            const observations = [
                ...Array<ServerObservation>(report.successes).fill(ServerObservation.Success),
                ...Array<ServerObservation>(report.failures).fill(ServerObservation.Failure),
            ];
            for (const observation of observations) {
                recordObservation(member, observation, now);
                degradation.record(member.record.service, observation, now);
            }
        },
        applyRemoteFailures: (report, now) => {
            const member = members.get(report.number);
            if (member !== undefined) {
                Array<ServerObservation>(report.failures).fill(ServerObservation.Failure).forEach(observation =>
                    recordObservation(member, observation, now)
                );
                addHangEvidence(member, report.hangs ?? 0, now);
                degradation.recordRemoteFailures(member.record.service, report.failures + (report.hangs ?? 0), now);
            }
        },
        removeHostLoad: hostKey => {
            for (const member of members.values()) {
                setHostLoad(member, hostKey, 0);
                member.waits.setHostLevel(hostKey, 0);
            }
        },
        removeAllHostLoads: () => {
            for (const member of members.values()) {
                member.inFlightByHost.clear();
                member.otherHostsInFlight = 0;
                member.waits.removeHostLevels();
            }
        },
        drainReports: now => {
            const reports: ServerReport[] = [];
            for (const member of members.values()) {
                if (member.ownInFlight > 0) {
                    updateWaits(member, now);
                }
                if (member.isReportDue) {
                    const { successes, failures, hangs, ownInFlight: inFlight } = member;
                    const waitLevel = member.waits.level(now);
                    reports.push({ number: member.record.number, successes, failures, inFlight, waitLevel, hangs });
                    member.successes = 0;
                    member.failures = 0;
                    member.hangs = 0;
                    member.reportedLevel = waitLevel;
                    member.isReportDue = false;
                }
            }
            return reports;
        },
        size: () => members.size,
    };
};
