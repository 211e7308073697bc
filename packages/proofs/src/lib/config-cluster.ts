/** A cluster of state hosts in fake time, with processes, disks and links that fail on command. */
import { createRandom } from "@cassiapick/core";
import type { Random, StateReply, StateRequest } from "@cassiapick/core";
import type { CreateDisk, HostAction, HostDisk, HostProcess } from "./config-contender.js";
import type { Timeline } from "./timeline.js";

const tickMs = 4;
/** A detour takes up to this many times as long. */
const detourFactor = 20;
/** How fast the clock of a process runs; no promise may rest on clocks that agree. */
const slowestClock = 0.3;
const fastestClock = 1.5;
const maxSeed = 2 ** 31;

/** What the links do to messages, as shares from 0 to 1. */
export interface LinkFaults {
    lost: number;
    repeated: number;
    /** The share that takes a detour, so that it arrives when the sender has long gone on. */
    detour: number;
    /** The longest delay without a detour, in milliseconds. */
    maxDelayMs: number;
    /** The share of steps in which the process crashes among its actions. */
    crashInStep: number;
}

/** The links of a cluster that is well. */
export const soundLinks: LinkFaults = { lost: 0, repeated: 0, detour: 0, maxDelayMs: 5, crashInStep: 0 };

interface Host {
    hostId: string;
    disk: HostDisk;
    process: HostProcess | undefined;
    /** Counts starts, so that timers of an earlier process die with it. */
    starts: number;
    clockRate: number;
    /** A stopped process holds what arrives until it goes on. */
    paused: (() => void)[] | undefined;
}

/** Counts what struck a cluster. */
export interface Strikes {
    crashes: number;
    lostDisks: number;
}

/** A running cluster. */
export interface Cluster {
    hostIds: readonly string[];
    request(hostId: string, request: StateRequest, answered: (reply: StateReply) => void): void;
    crash(hostId: string): void;
    start(hostId: string): void;
    loseDisk(hostId: string): void;
    pause(hostId: string): void;
    resume(hostId: string): void;
    /** Cuts or mends one direction of a link. */
    setCut(from: string, to: string, cut: boolean): void;
    setFaults(faults: LinkFaults): void;
    /** Whether every running host is a voter. */
    allRecovered(): boolean;
    /** A running host that believes to lead. */
    leader(): string | undefined;
    /** What has struck the cluster so far. */
    struck(): Strikes;
}

/** Options of {@link createCluster}. */
export interface ClusterOptions {
    hosts: number;
    snapshotEvery: number;
    createDisk: CreateDisk;
    clock: Timeline;
    random: Random;
    faults: LinkFaults;
}

/** Creates a cluster at its first start. */
export const createCluster = (options: ClusterOptions): Cluster => {
    const { clock, random } = options;
    const hostIds = Array.from({ length: options.hosts }, (_, index) => `state-${index}`);
    const hosts = new Map<string, Host>(hostIds.map(hostId => [hostId, {
        hostId,
        disk: options.createDisk(hostId, hostIds, options.snapshotEvery),
        process: undefined,
        starts: 0,
        clockRate: 1,
        paused: undefined,
    }]));
    const cuts = new Set<string>();
    const waiting = new Map<number, (reply: StateReply) => void>();
    let faults = options.faults;
    let nextRequestId = 1;
    const strikes: Strikes = { crashes: 0, lostDisks: 0 };

    const timeOf = (host: Host): number => clock.now() * host.clockRate;

    const crash = (hostId: string): void => {
        const host = hosts.get(hostId)!;
        strikes.crashes += host.process === undefined ? 0 : 1;
        host.process = undefined;
        host.paused = undefined;
    };

    /** Runs `take` on the process of a host as soon as it runs. */
    const enter = (host: Host, take: (process: HostProcess) => HostAction[]): void => {
        const { process } = host;
        if (process === undefined) {
            return;
        }
        if (host.paused !== undefined) {
            host.paused.push(() => enter(host, take));
            return;
        }
        perform(host, take(process));
    };

    const deliver = (from: string, to: string, message: unknown): void => {
        if (cuts.has(`${from}>${to}`) || random.next() < faults.lost) {
            return;
        }
        const copies = random.next() < faults.repeated ? 2 : 1;
        for (let copy = 0; copy < copies; copy += 1) {
            clock.after(delay(), () => {
                const host = hosts.get(to)!;
                enter(host, process => process.receive(from, message, timeOf(host)));
            });
        }
    };

    const delay = (): number => {
        const direct = 1 + random.next() * faults.maxDelayMs;
        return random.next() < faults.detour ? direct * detourFactor * random.next() : direct;
    };

    const answer = (requestId: number, reply: StateReply): void => {
        if (random.next() < faults.lost) {
            return;
        }
        clock.after(1 + random.next() * faults.maxDelayMs, () => {
            waiting.get(requestId)?.(reply);
            waiting.delete(requestId);
        });
    };

    const performers: { [K in HostAction["kind"]]: (host: Host, action: Extract<HostAction, { kind: K; }>) => void; } = {
        write: (_host, action) => action.run(),
        send: (host, action) => deliver(host.hostId, action.to, action.message),
        reply: (_host, action) => answer(action.requestId, action.reply),
    };

    const perform = (host: Host, actions: HostAction[]): void => {
        const crashes = random.next() < faults.crashInStep && actions.length > 0;
        const count = crashes ? random.below(actions.length + 1) : actions.length;
        for (const action of actions.slice(0, count)) {
            (performers[action.kind] as (owner: Host, value: HostAction) => void)(host, action);
        }
        if (crashes) {
            crash(host.hostId);
        }
    };

    const tickForever = (host: Host, start: number): void => {
        clock.after(tickMs * (0.75 + random.next() / 2), () => {
            if (host.starts === start && host.process !== undefined) {
                // A stopped process does not pile up its own ticks.
                if (host.paused === undefined) {
                    enter(host, process => process.tick(timeOf(host)));
                }
                tickForever(host, start);
            }
        });
    };

    const start = (hostId: string): void => {
        const host = hosts.get(hostId)!;
        if (host.process !== undefined) {
            return;
        }
        host.starts += 1;
        host.clockRate = slowestClock + random.next() * (fastestClock - slowestClock);
        host.process = host.disk.start(createRandom(random.below(maxSeed)));
        tickForever(host, host.starts);
    };

    const resume = (hostId: string): void => {
        const host = hosts.get(hostId)!;
        const held = host.paused ?? [];
        host.paused = undefined;
        for (const run of held) {
            run();
        }
    };

    for (const hostId of hostIds) {
        start(hostId);
    }

    return {
        hostIds,
        request: (hostId, request, answered) => {
            const requestId = nextRequestId;
            nextRequestId += 1;
            waiting.set(requestId, answered);
            clock.after(1 + random.next() * faults.maxDelayMs, () => {
                const host = hosts.get(hostId)!;
                enter(host, process => process.request(requestId, request, timeOf(host)));
            });
        },
        crash,
        start,
        loseDisk: hostId => {
            crash(hostId);
            strikes.lostDisks += 1;
            hosts.get(hostId)!.disk.lose();
        },
        pause: hostId => {
            hosts.get(hostId)!.paused ??= [];
        },
        resume,
        setCut: (from, to, cut) => {
            if (cut) {
                cuts.add(`${from}>${to}`);
                return;
            }
            cuts.delete(`${from}>${to}`);
        },
        setFaults: newer => {
            faults = newer;
        },
        allRecovered: () => [...hosts.values()].every(host => host.process?.isRecovered() === true),
        leader: () => [...hosts.values()].find(host => host.process?.leads())?.hostId,
        struck: () => strikes,
    };
};
