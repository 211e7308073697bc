/** A small fake pool under fake time: hosts that pick and detect, and backend servers that answer. */
import { AttemptClass, computeEffectiveView, createRandom, DetectorActionKind, DetectorEventKind } from "@cassiapick/core";
import type { DetectionMode, Detector, DetectorAction, EffectiveView, Random } from "@cassiapick/core";
import { faultHandlers, Trouble, troubleHandlers } from "./detection-faults.js";
import type { Fault, Served } from "./detection-faults.js";
import { createTimeline } from "./timeline.js";

/** Options of {@link runFakePool}. */
export interface FakePoolCfg {
    seed: number;
    mode: DetectionMode;
    createDetector: (mode: DetectionMode, random: Random) => Detector;
    /** Each region has one owner host. */
    regions: number;
    membersPerRegion: number;
    /** Share of the slots that is busy on average. */
    load: number;
    trouble: Trouble;
    /** Strikes the first member after the warm-up. */
    fault?: Fault;
    warmUpMs: number;
    /** Time after the warm-up. */
    runMs: number;
    /** Ends the run this long after the first member's owner suspects it. */
    stopAfterMs?: number;
}

/** A member became suspected on a host. */
export interface EjectionSeen {
    host: number;
    member: number;
    at: number;
}

/** What happened. Times are in milliseconds from the fault. */
export interface FakePoolResult {
    ejections: EjectionSeen[];
    /** New requests sent to the first member after the fault. */
    sends: { host: number; at: number; }[];
    requests: number;
    refused: number;
}

const slots = 3;
const floorShare = 0.5;
const kinds = ["kind-0", "kind-1", "kind-2"];
const kindShares = [0.4, 0.8, 1];
const kindMedianMs: Record<string, number> = { "kind-0": 20, "kind-1": 40, "kind-2": 80 };
const spread = 0.4;
/** Mean time of an answer: the medians by their shares, times the mean of the spread. */
const meanMs = (0.4 * 20 + 0.4 * 40 + 0.2 * 80) * Math.exp(spread * spread / 2);
const usualErrorRate = 0.002;
const attemptTimeoutMs = 2_000;
const tickMs = 10;
const queueLimit = 60;
const nearRoundTripMs = 2;
const farRoundTripMs = 40;
const probeMs = 25;
const reportMs = 20;
const restartEveryMs = 20_000;
const coldMs = 5_000;
const sliceMs = 100;

interface FakeMember {
    id: string;
    index: number;
    region: number;
    busy: number;
    incarnation: number;
    cold: boolean;
}

interface FakeHost {
    index: number;
    detector: Detector;
    inFlight: number[];
    queue: string[];
    view: EffectiveView;
    suspected: Set<string>;
}

/** Runs one fake pool. */
export const runFakePool = (cfg: FakePoolCfg): FakePoolResult => {
    const random = createRandom(cfg.seed);
    const queue = createTimeline();
    const result: FakePoolResult = { ejections: [], sends: [], requests: 0, refused: 0 };
    const members: FakeMember[] = Array.from({ length: cfg.regions * cfg.membersPerRegion }, (_, index) => ({
        id: `server-${index}`,
        index,
        region: Math.floor(index / cfg.membersPerRegion),
        busy: 0,
        incarnation: 1,
        cold: false,
    }));
    const byId = new Map(members.map(member => [member.id, member]));
    const hosts: FakeHost[] = Array.from({ length: cfg.regions }, (_, index) => ({
        index,
        detector: cfg.createDetector(cfg.mode, createRandom(cfg.seed * 31 + index)),
        inFlight: members.map(() => 0),
        queue: [],
        view: { healthy: members.map(member => member.id), keptByFloor: [], ejected: [] },
        suspected: new Set(),
    }));

    const gauss = (): number => Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());

    const roundTrip = (host: FakeHost, member: FakeMember): number =>
        host.index === member.region ? nearRoundTripMs : farRoundTripMs;

    const serve = (host: FakeHost, member: FakeMember, requestKind: string, medianMs: number): Served => {
        const outcome = random.next() < usualErrorRate ? AttemptClass.ServerError : AttemptClass.Success;
        const plain: Served = { durationMs: medianMs * Math.exp(spread * gauss()), outcome };
        const now = queue.now();
        const context = { well: plain, member: member.index, cold: member.cold, requestKind, now, random };
        const well = troubleHandlers[cfg.trouble](context);
        if (cfg.fault === undefined || member.index !== 0 || now < cfg.warmUpMs) {
            return well;
        }
        return faultHandlers[cfg.fault]({ well, host: host.index, requestKind, sinceMs: now - cfg.warmUpMs, random });
    };

    const refresh = (host: FakeHost): void => {
        const suspicions = host.detector.suspicions();
        host.view = computeEffectiveView({
            members: members.map(member => ({ serverId: member.id, slots, cold: member.cold })),
            suspicions,
            floorSlots: Math.ceil(members.length * slots * floorShare),
        });
        const before = host.suspected;
        host.suspected = new Set(suspicions.map(suspicion => suspicion.serverId));
        for (const id of host.suspected) {
            if (!before.has(id)) {
                result.ejections.push({ host: host.index, member: byId.get(id)!.index, at: queue.now() - cfg.warmUpMs });
            }
        }
    };

    const probe = (host: FakeHost, member: FakeMember): void => {
        const served = serve(host, member, "probe", probeMs);
        const durationMs = Math.min(attemptTimeoutMs, served.durationMs + roundTrip(host, member));
        const outcome = durationMs >= attemptTimeoutMs ? AttemptClass.Timeout : served.outcome;
        queue.at(queue.now() + durationMs, () =>
            handle(
                host,
                host.detector.step(
                    { kind: DetectorEventKind.ProbeFinished, serverId: member.id, outcome, durationMs },
                    queue.now(),
                ),
            ));
    };

    const report = (from: FakeHost, serverId: string, evidence: number): void => {
        for (const host of hosts.filter(each => each !== from)) {
            queue.at(queue.now() + reportMs, () =>
                handle(
                    host,
                    host.detector.step(
                        { kind: DetectorEventKind.RemoteEvidence, host: `host-${from.index}`, serverId, evidence },
                        queue.now(),
                    ),
                ));
        }
    };

    const handle = (host: FakeHost, actions: DetectorAction[]): void => {
        for (const action of actions) {
            if (action.kind === DetectorActionKind.Probe) {
                probe(host, byId.get(action.serverId)!);
            }
            if (action.kind === DetectorActionKind.Report) {
                report(host, action.serverId, action.evidence);
            }
        }
        if (actions.some(action => action.kind === DetectorActionKind.Changed)) {
            refresh(host);
            drain(host);
        }
    };

    const pick = (host: FakeHost): FakeMember | undefined => {
        const kept = new Set(host.view.keptByFloor);
        const ejected = new Set(host.view.ejected);
        let best: FakeMember | undefined;
        let bestRank = Infinity;
        for (const member of members) {
            const weight = host.detector.weight(member.id) * (member.cold ? 0.5 : 1);
            const inFlight = host.inFlight[member.index]!;
            if (ejected.has(member.id) || inFlight >= Math.max(1, Math.round(slots * weight))) {
                continue;
            }
            // Own region first; doubted members and those kept by the floor after all the others.
            const distance = host.index === member.region ? 0 : 10;
            const last = (weight < 0.3 ? 50 : 0) + (kept.has(member.id) ? 100 : 0);
            const rank = last + distance + inFlight / slots + random.next() / 10;
            if (rank < bestRank) {
                best = member;
                bestRank = rank;
            }
        }
        return best;
    };

    const finish = (host: FakeHost, member: FakeMember, attemptId: string, outcome: AttemptClass, held: boolean): void => {
        host.inFlight[member.index]! -= 1;
        member.busy -= held ? 1 : 0;
        handle(host, host.detector.step({ kind: DetectorEventKind.Finished, attemptId, outcome }, queue.now()));
        drain(host);
    };

    const send = (host: FakeHost, member: FakeMember, requestKind: string): void => {
        const now = queue.now();
        const attemptId = `${result.requests += 1}`;
        if (member.index === 0 && now >= cfg.warmUpMs) {
            result.sends.push({ host: host.index, at: now - cfg.warmUpMs });
        }
        host.inFlight[member.index]! += 1;
        const held = member.busy < slots;
        const shed: Served = { durationMs: 0, outcome: AttemptClass.Shed };
        const served = held ? serve(host, member, requestKind, kindMedianMs[requestKind]!) : shed;
        member.busy += held ? 1 : 0;
        const durationMs = Math.min(attemptTimeoutMs, served.durationMs + roundTrip(host, member));
        const outcome = durationMs >= attemptTimeoutMs ? AttemptClass.Timeout : served.outcome;
        queue.at(now + durationMs, () => finish(host, member, attemptId, outcome, held));
        handle(
            host,
            host.detector.step({ kind: DetectorEventKind.Started, attemptId, serverId: member.id, requestKind }, now),
        );
    };

    const drain = (host: FakeHost): void => {
        while (host.queue.length > 0) {
            const member = pick(host);
            if (member === undefined) {
                return;
            }
            send(host, member, host.queue.shift()!);
        }
    };

    const requestsPerMs = cfg.load * cfg.membersPerRegion * slots / meanMs;

    const arrive = (host: FakeHost): void => {
        if (host.queue.length < queueLimit) {
            const draw = random.next();
            host.queue.push(kinds[kindShares.findIndex(share => draw < share)]!);
            drain(host);
        }
        else {
            result.refused += 1;
        }
        queue.at(queue.now() - Math.log(1 - random.next()) / requestsPerMs, () => arrive(host));
    };

    const tick = (host: FakeHost): void => {
        handle(host, host.detector.step({ kind: DetectorEventKind.Tick }, queue.now()));
        queue.at(queue.now() + tickMs, () => tick(host));
    };

    const announce = (member: FakeMember): void => {
        for (const host of hosts) {
            const traits = { incarnation: member.incarnation, cold: member.cold, roundTripMs: roundTrip(host, member) };
            handle(host, host.detector.step({ kind: DetectorEventKind.Joined, serverId: member.id, ...traits }, queue.now()));
            refresh(host);
        }
    };

    const restart = (): void => {
        const member = members[random.below(members.length)]!;
        member.incarnation += 1;
        member.cold = true;
        announce(member);
        queue.at(queue.now() + coldMs, () => {
            member.cold = false;
            announce(member);
        });
        queue.at(queue.now() + restartEveryMs, restart);
    };

    members.forEach(announce);
    hosts.forEach(host => {
        queue.at(0, () => arrive(host));
        queue.at(random.next() * tickMs, () => tick(host));
    });
    if (cfg.trouble === Trouble.ColdStart) {
        queue.at(cfg.warmUpMs, restart);
    }
    const stopAfterMs = cfg.stopAfterMs ?? Infinity;
    const isDone = (): boolean => {
        const found = result.ejections.find(seen => seen.at >= 0 && seen.host === 0 && seen.member === 0);
        return found !== undefined && queue.now() >= cfg.warmUpMs + found.at + stopAfterMs;
    };
    const end = cfg.warmUpMs + cfg.runMs;
    while (queue.now() < end && !isDone()) {
        queue.run(Math.min(end, queue.now() + sliceMs));
    }
    return result;
};
