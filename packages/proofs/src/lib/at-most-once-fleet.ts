/** Simulates the entry hosts: processes that crash, pause and communicate over links that lose messages. */
import { ClaimActionKind, ClaimEventKind, createRandom } from "@cassiapick/core";
import type { ClaimAction, ClaimEvent, ClaimHost, ClaimNode, ClaimNodeCfg, ClaimRoster, Random } from "@cassiapick/core";
import { initialHosts } from "./at-most-once-plan.js";
import type { FaultPlan, TimeSpan } from "./at-most-once-plan.js";
import type { Timeline } from "./timeline.js";

/** Creates a claim node of the implementation under test. */
export type CreateClaimNode = (cfg: ClaimNodeCfg) => ClaimNode;

/** An action that the entry process carries out itself. */
export type LocalAction = Exclude<ClaimAction, { kind: ClaimActionKind.Send; }>;

/** Options of {@link createSimulatedFleet}. */
export interface SimulatedFleetOptions {
    plan: FaultPlan;
    timeline: Timeline;
    random: Random;
    createClaimNode: CreateClaimNode;
    onAction(action: LocalAction, hostId: string): void;
}

/** The running fleet. */
export interface SimulatedFleet {
    /** Passes an event to the process of a host; `createEvent` gets the time of that process. A stopped host ignores it. */
    deliverEvent(hostId: string, createEvent: (localNow: number) => ClaimEvent): void;
    isRunning(hostId: string): boolean;
    /** Returns a number that increases with each start of a process of the host. */
    processNumberOf(hostId: string): number;
}

interface SimulatedHost {
    node: ClaimNode | undefined;
    processNumber: number;
    /** Offset of the clock of the process, in milliseconds. */
    clockOffset: number;
    pausedUntil: number;
    hasRoster: boolean;
    /** The newest roster version that the process has received. */
    confirmedVersion: number;
}

interface EarlierRoster {
    hosts: ClaimHost[];
    /** The version of the roster that replaced it. */
    replacedBy: number;
    /** When every running process had received the newer roster. */
    confirmedAt: number | undefined;
}

const tickMs = 50;
const rosterReadIntervalMs = 200;
const resendMs = 50;
/** Few records, so that a catch-up takes several pages and restarts and lost messages fall between them. */
const pageRecords = 16;

const isWithin = (now: number, spans: TimeSpan[]): boolean => spans.some(({ from, to }) => now >= from && now < to);

/** Starts every host of the plan and schedules its faults. */
export const createSimulatedFleet = (options: SimulatedFleetOptions): SimulatedFleet => {
    const { plan, timeline, random } = options;
    const hosts = new Map<string, SimulatedHost>(plan.hosts.map(({ hostId }) => [hostId, {
        node: undefined,
        processNumber: 0,
        clockOffset: 0,
        pausedUntil: 0,
        hasRoster: false,
        confirmedVersion: 0,
    }]));
    const claimHosts = new Map(plan.hosts.map(host => [host.hostId, host]));
    const cutsByLink = new Map<string, TimeSpan[]>();
    for (const cut of plan.cuts) {
        const linkKey = `${cut.fromHostId} ${cut.toHostId}`;
        cutsByLink.set(linkKey, [...cutsByLink.get(linkKey) ?? [], cut]);
    }
    let roster: ClaimRoster = { version: 1, hosts: initialHosts(plan) };
    let earlierRosters: EarlierRoster[] = [];

    const localNow = (host: SimulatedHost): number => timeline.now() + host.clockOffset;

    const drawLinkDelayMs = (from: ClaimHost, to: ClaimHost): number => {
        const baseMs = from.region === to.region ? 1 : 20;
        return baseMs + random.next() + (random.next() < plan.delayedShare ? random.next() * plan.maxExtraDelayMs : 0);
    };

    const transmit = (fromHostId: string, toHostId: string, event: ClaimEvent): void => {
        const isCut = isWithin(timeline.now(), cutsByLink.get(`${fromHostId} ${toHostId}`) ?? []);
        if (isCut || random.next() < plan.lossShare) {
            return;
        }
        const copies = random.next() < plan.duplicateShare ? 2 : 1;
        for (let copy = 0; copy < copies; copy += 1) {
            timeline.after(
                drawLinkDelayMs(claimHosts.get(fromHostId)!, claimHosts.get(toHostId)!),
                () => deliverEvent(toHostId, () => event),
            );
        }
    };

    /** Runs a callback as soon as the process is not paused, unless it has ended by then. */
    const runWhenResumed = (host: SimulatedHost, run: () => void): void => {
        const { processNumber } = host;
        const tryRun = (): void => {
            if (host.processNumber !== processNumber || host.node === undefined) {
                return;
            }
            if (host.pausedUntil > timeline.now()) {
                timeline.after(host.pausedUntil - timeline.now(), tryRun);
                return;
            }
            run();
        };
        tryRun();
    };

    const runAction = (hostId: string, host: SimulatedHost, action: ClaimAction): void => {
        if (action.kind === ClaimActionKind.Send) {
            transmit(hostId, action.hostId, { kind: ClaimEventKind.Message, fromHostId: hostId, message: action.message });
            return;
        }
        // A process may pause or crash between a decision and its action. Messages need no such delay: links lose or delay them.
        timeline.after(random.next(), () => runWhenResumed(host, () => options.onAction(action, hostId)));
    };

    const deliverEvent = (hostId: string, createEvent: (localNow: number) => ClaimEvent): void => {
        const host = hosts.get(hostId);
        if (host?.node === undefined) {
            return;
        }
        runWhenResumed(host, () => {
            const now = localNow(host);
            for (const action of host.node!.step(createEvent(now), now)) {
                runAction(hostId, host, action);
            }
        });
    };

    /** Drops an earlier roster from the published one a full horizon after every running process has received its successor. */
    const expireEarlierRosters = (): void => {
        for (const earlier of earlierRosters) {
            const isConfirmedEverywhere = [...hosts.values()].every(host =>
                host.node === undefined || host.confirmedVersion >= earlier.replacedBy
            );
            earlier.confirmedAt ??= isConfirmedEverywhere ? timeline.now() : undefined;
        }
        const remaining = earlierRosters.filter(earlier =>
            earlier.confirmedAt === undefined || timeline.now() - earlier.confirmedAt < plan.horizonMs
        );
        if (remaining.length < earlierRosters.length) {
            earlierRosters = remaining;
            publishRoster(roster.hosts);
        }
    };

    const publishRoster = (nextHosts: ClaimHost[]): void => {
        roster = { version: roster.version + 1, hosts: nextHosts, earlier: earlierRosters.map(earlier => earlier.hosts) };
    };

    const changeRoster = (nextHosts: ClaimHost[]): void => {
        earlierRosters = [...earlierRosters, { hosts: roster.hosts, replacedBy: roster.version + 1, confirmedAt: undefined }];
        publishRoster(nextHosts);
    };

    /** Delivers the current roster. The first roster of a process is a linearizable read; later ones arrive late. */
    const deliverRoster = (hostId: string, host: SimulatedHost): void => {
        const current = roster;
        deliverEvent(hostId, () => {
            host.hasRoster = true;
            host.confirmedVersion = Math.max(host.confirmedVersion, current.version);
            return { kind: ClaimEventKind.Roster, roster: structuredClone(current) };
        });
    };

    const pollRoster = (hostId: string, host: SimulatedHost, processNumber: number): void => {
        if (host.processNumber !== processNumber || host.node === undefined) {
            return;
        }
        const isStateReachable = !isWithin(timeline.now(), plan.stateOutages);
        if (isStateReachable && (!host.hasRoster || random.next() < 0.3)) {
            deliverRoster(hostId, host);
        }
        timeline.after(rosterReadIntervalMs, () => pollRoster(hostId, host, processNumber));
    };

    const startProcess = (hostId: string, host: SimulatedHost): void => {
        host.processNumber += 1;
        host.clockOffset = random.below(1_000_000);
        host.pausedUntil = 0;
        host.hasRoster = false;
        // A confirmation of the previous process does not count for this one, which reads the roster again before it decides.
        host.confirmedVersion = roster.version;
        host.node = options.createClaimNode({
            hostId,
            incarnation: Math.floor(timeline.now()) + host.processNumber,
            random: createRandom(random.below(2 ** 31)),
            limits: { horizonMs: plan.horizonMs, claimTimeoutMs: plan.claimTimeoutMs, resendMs, pageRecords },
        });
        if (host.processNumber === 1) {
            deliverEvent(hostId, () => ({ kind: ClaimEventKind.FirstStart }));
        }
        pollRoster(hostId, host, host.processNumber);
    };

    const tickAll = (): void => {
        for (const hostId of hosts.keys()) {
            deliverEvent(hostId, () => ({ kind: ClaimEventKind.Tick }));
        }
        expireEarlierRosters();
        timeline.after(tickMs, tickAll);
    };

    const crash = (host: SimulatedHost): void => {
        host.node = undefined;
    };

    const restart = (hostId: string, host: SimulatedHost): void => {
        if (host.node === undefined) {
            startProcess(hostId, host);
        }
    };

    const scheduleFaults = (): void => {
        for (const { hostId, from, to } of plan.crashes) {
            const host = hosts.get(hostId)!;
            timeline.after(from, () => crash(host));
            timeline.after(to, () => restart(hostId, host));
        }
        for (const { hostId, from, to } of plan.pauses) {
            timeline.after(from, () => {
                hosts.get(hostId)!.pausedUntil = to;
            });
        }
        for (const change of plan.rosterChanges) {
            timeline.after(change.at, () => changeRoster(change.hosts));
        }
    };

    for (const [hostId, host] of hosts) {
        startProcess(hostId, host);
    }
    scheduleFaults();
    tickAll();
    return {
        deliverEvent,
        isRunning: hostId => hosts.get(hostId)?.node !== undefined,
        processNumberOf: hostId => hosts.get(hostId)?.processNumber ?? 0,
    };
};
