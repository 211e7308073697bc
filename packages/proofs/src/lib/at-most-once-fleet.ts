/** The entry hosts of the proof: processes that crash, freeze and talk over a network that loses messages. */
import { ClaimActionKind, ClaimEventKind, createRandom } from "@cassiapick/core";
import type { ClaimAction, ClaimEvent, ClaimHost, ClaimNode, ClaimNodeCfg, ClaimRoster, Random } from "@cassiapick/core";
import { initialHosts } from "./at-most-once-plan.js";
import type { FaultPlan, Span } from "./at-most-once-plan.js";
import type { Timeline } from "./timeline.js";

/** Makes a claim node; the naive version and ours. */
export type CreateNode = (cfg: ClaimNodeCfg) => ClaimNode;

/** An action that the entry process carries out itself. */
export type OwnAction = Exclude<ClaimAction, { kind: ClaimActionKind.Send; }>;

/** Options of {@link createFleet}. */
export interface FleetOptions {
    plan: FaultPlan;
    timeline: Timeline;
    random: Random;
    createNode: CreateNode;
    onAction(action: OwnAction, hostId: string): void;
}

/** The running fleet. */
export interface Fleet {
    /** Hands an event to a process; `make` gets the clock of that process. */
    hand(hostId: string, make: (localNow: number) => ClaimEvent): void;
    isUp(hostId: string): boolean;
    /** Changes with each start of a process of the host. */
    lifeOf(hostId: string): number;
}

interface Host {
    node: ClaimNode | undefined;
    life: number;
    /** Each process has a clock with its own zero. */
    clockOffset: number;
    frozenUntil: number;
    knowsRoster: boolean;
    confirmed: number;
}

interface Earlier {
    hosts: ClaimHost[];
    /** The version that replaced it. */
    replacedBy: number;
    confirmedAt: number | undefined;
}

const tickMs = 50;
const askRosterMs = 200;
const resendMs = 50;
/** Few, so that restarts and lost messages fall between the pages of a catch-up. */
const pageRecords = 16;

const isWithin = (now: number, spans: Span[]): boolean => spans.some(({ from, to }) => now >= from && now < to);

/** Starts every host of the plan. */
export const createFleet = (options: FleetOptions): Fleet => {
    const { plan, timeline, random } = options;
    const hosts = new Map<string, Host>(plan.hosts.map(({ hostId }) => [hostId, {
        node: undefined,
        life: 0,
        clockOffset: 0,
        frozenUntil: 0,
        knowsRoster: false,
        confirmed: 0,
    }]));
    const places = new Map(plan.hosts.map(host => [host.hostId, host]));
    const cuts = new Map<string, Span[]>();
    for (const cut of plan.cuts) {
        const link = `${cut.fromHostId} ${cut.toHostId}`;
        cuts.set(link, [...cuts.get(link) ?? [], cut]);
    }
    let roster: ClaimRoster = { version: 1, hosts: initialHosts(plan) };
    let earlier: Earlier[] = [];

    const localNow = (host: Host): number => timeline.now() + host.clockOffset;

    const linkDelay = (from: ClaimHost, to: ClaimHost): number => {
        const base = from.region === to.region ? 1 : 20;
        return base + random.next() + (random.next() < plan.slowShare ? random.next() * plan.slowMs : 0);
    };

    const transmit = (fromHostId: string, toHostId: string, event: ClaimEvent): void => {
        const isCut = isWithin(timeline.now(), cuts.get(`${fromHostId} ${toHostId}`) ?? []);
        if (isCut || random.next() < plan.lossShare) {
            return;
        }
        const copies = random.next() < plan.repeatShare ? 2 : 1;
        for (let copy = 0; copy < copies; copy += 1) {
            timeline.after(linkDelay(places.get(fromHostId)!, places.get(toHostId)!), () => hand(toHostId, () => event));
        }
    };

    /** Runs when the process stands still no longer, if it still lives. */
    const whenAwake = (host: Host, run: () => void): void => {
        const { life } = host;
        const attempt = (): void => {
            if (host.life !== life || host.node === undefined) {
                return;
            }
            if (host.frozenUntil > timeline.now()) {
                timeline.after(host.frozenUntil - timeline.now(), attempt);
                return;
            }
            run();
        };
        attempt();
    };

    const carryOut = (hostId: string, host: Host, action: ClaimAction): void => {
        if (action.kind === ClaimActionKind.Send) {
            transmit(hostId, action.hostId, { kind: ClaimEventKind.Message, fromHostId: hostId, message: action.message });
            return;
        }
        // A process may freeze or die between a decision and its carrying out. For messages that is a loss or a delay.
        timeline.after(random.next(), () => whenAwake(host, () => options.onAction(action, hostId)));
    };

    const hand = (hostId: string, make: (localNow: number) => ClaimEvent): void => {
        const host = hosts.get(hostId);
        if (host?.node === undefined) {
            return;
        }
        whenAwake(host, () => {
            const now = localNow(host);
            for (const action of host.node!.step(make(now), now)) {
                carryOut(hostId, host, action);
            }
        });
    };

    const confirm = (): void => {
        for (const list of earlier) {
            const isKnown = [...hosts.values()].every(host => host.node === undefined || host.confirmed >= list.replacedBy);
            list.confirmedAt ??= isKnown ? timeline.now() : undefined;
        }
        const kept = earlier.filter(list => list.confirmedAt === undefined || timeline.now() - list.confirmedAt < plan.horizonMs);
        if (kept.length < earlier.length) {
            earlier = kept;
            publish(roster.hosts);
        }
    };

    const publish = (next: ClaimHost[]): void => {
        roster = { version: roster.version + 1, hosts: next, earlier: earlier.map(list => list.hosts) };
    };

    const changeRoster = (next: ClaimHost[]): void => {
        earlier = [...earlier, { hosts: roster.hosts, replacedBy: roster.version + 1, confirmedAt: undefined }];
        publish(next);
    };

    /** The first roster of a process is a linearizable read; later ones arrive late. */
    const handRoster = (hostId: string, host: Host): void => {
        const current = roster;
        hand(hostId, () => {
            host.knowsRoster = true;
            host.confirmed = Math.max(host.confirmed, current.version);
            return { kind: ClaimEventKind.Roster, roster: structuredClone(current) };
        });
    };

    const askRoster = (hostId: string, host: Host, life: number): void => {
        if (host.life !== life || host.node === undefined) {
            return;
        }
        const isReachable = !isWithin(timeline.now(), plan.stateOutages);
        if (isReachable && (!host.knowsRoster || random.next() < 0.3)) {
            handRoster(hostId, host);
        }
        timeline.after(askRosterMs, () => askRoster(hostId, host, life));
    };

    const start = (hostId: string, host: Host): void => {
        host.life += 1;
        host.clockOffset = random.below(1_000_000);
        host.frozenUntil = 0;
        host.knowsRoster = false;
        // What an earlier process confirmed says nothing about this one, which reads the roster anew.
        host.confirmed = roster.version;
        host.node = options.createNode({
            hostId,
            incarnation: Math.floor(timeline.now()) + host.life,
            random: createRandom(random.below(2 ** 31)),
            limits: { horizonMs: plan.horizonMs, claimTimeoutMs: plan.claimTimeoutMs, resendMs, pageRecords },
        });
        if (host.life === 1) {
            hand(hostId, () => ({ kind: ClaimEventKind.FirstStart }));
        }
        askRoster(hostId, host, host.life);
    };

    const tickAll = (): void => {
        for (const hostId of hosts.keys()) {
            hand(hostId, () => ({ kind: ClaimEventKind.Tick }));
        }
        confirm();
        timeline.after(tickMs, tickAll);
    };

    const crash = (host: Host): void => {
        host.node = undefined;
    };

    const restart = (hostId: string, host: Host): void => {
        if (host.node === undefined) {
            start(hostId, host);
        }
    };

    const schedule = (): void => {
        for (const { hostId, from, to } of plan.crashes) {
            const host = hosts.get(hostId)!;
            timeline.after(from, () => crash(host));
            timeline.after(to, () => restart(hostId, host));
        }
        for (const { hostId, from, to } of plan.freezes) {
            timeline.after(from, () => {
                hosts.get(hostId)!.frozenUntil = to;
            });
        }
        for (const change of plan.rosterChanges) {
            timeline.after(change.at, () => changeRoster(change.hosts));
        }
    };

    for (const [hostId, host] of hosts) {
        start(hostId, host);
    }
    schedule();
    tickAll();
    return {
        hand,
        isUp: hostId => hosts.get(hostId)?.node !== undefined,
        lifeOf: hostId => hosts.get(hostId)?.life ?? 0,
    };
};
