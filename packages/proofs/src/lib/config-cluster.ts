/** Simulates a cluster of state hosts whose processes, disks and links can be made to fail. */
import { createRandom } from "@cassiapick/core";
import type { Random, StateReply, StateRequest } from "@cassiapick/core";
import type { CreateDisk, HostAction, HostDisk, HostProcess } from "./config-implementations.js";
import type { Timeline } from "./timeline.js";

const tickMs = 4;
/** A long delay is up to this many times the normal one. */
const longDelayFactor = 20;
/** Range of the rates at which the clocks of processes run; no guarantee may depend on clocks that agree. */
const minClockRate = 0.3;
const maxClockRate = 1.5;
const maxSeed = 2 ** 31;

/** The faults of links and steps; shares are fractions from 0 to 1. */
export interface LinkFaults {
    lossShare: number;
    duplicateShare: number;
    /** The fraction of messages with a long delay, which arrive long after the sender has moved on. */
    longDelayShare: number;
    /** The longest normal delay, in milliseconds. */
    maxDelayMs: number;
    /** The fraction of steps in which the process crashes before, between or after its actions. */
    crashShare: number;
}

/** Links without faults. */
export const noLinkFaults: LinkFaults = { lossShare: 0, duplicateShare: 0, longDelayShare: 0, maxDelayMs: 5, crashShare: 0 };

interface ClusterHost {
    hostId: string;
    disk: HostDisk;
    process: HostProcess | undefined;
    /** The number of starts; a timer of an earlier process recognizes by it that it must end. */
    startCount: number;
    clockRate: number;
    /** What a paused process handles when it resumes; `undefined` when it is not paused. */
    heldCallbacks: (() => void)[] | undefined;
}

/** Counts of the faults of a cluster. */
export interface FaultCounts {
    crashes: number;
    lostDisks: number;
}

/** A running cluster. */
export interface Cluster {
    hostIds: readonly string[];
    request(hostId: string, request: StateRequest, onReply: (reply: StateReply) => void): void;
    crash(hostId: string): void;
    start(hostId: string): void;
    loseDisk(hostId: string): void;
    pause(hostId: string): void;
    resume(hostId: string): void;
    /** Cuts or restores one direction of a link. */
    setCut(from: string, to: string, isCut: boolean): void;
    setFaults(faults: LinkFaults): void;
    /** Whether every host runs and has recovered, so that another disk may be lost. */
    allRecovered(): boolean;
    /** Returns a running host that considers itself the leader. */
    believedLeader(): string | undefined;
    /** Returns the counts of the faults so far. */
    faultCounts(): FaultCounts;
}

/** Options of {@link createCluster}. */
export interface ClusterOptions {
    hostCount: number;
    snapshotEvery: number;
    createDisk: CreateDisk;
    timeline: Timeline;
    random: Random;
    faults: LinkFaults;
}

/** Creates a cluster and starts every host for the first time. */
export const createCluster = (options: ClusterOptions): Cluster => {
    const { timeline, random } = options;
    const hostIds = Array.from({ length: options.hostCount }, (_, index) => `state-${index}`);
    const hosts = new Map<string, ClusterHost>(hostIds.map(hostId => [hostId, {
        hostId,
        disk: options.createDisk(hostId, hostIds, options.snapshotEvery),
        process: undefined,
        startCount: 0,
        clockRate: 1,
        heldCallbacks: undefined,
    }]));
    const cuts = new Set<string>();
    const pendingReplies = new Map<number, (reply: StateReply) => void>();
    let faults = options.faults;
    let nextRequestId = 1;
    const faultCounts: FaultCounts = { crashes: 0, lostDisks: 0 };

    const localTimeOf = (host: ClusterHost): number => timeline.now() * host.clockRate;

    const crash = (hostId: string): void => {
        const host = hosts.get(hostId)!;
        faultCounts.crashes += host.process === undefined ? 0 : 1;
        host.process = undefined;
        host.heldCallbacks = undefined;
    };

    /** Runs a step on the process of a host, after it has resumed if it is paused; drops the step if no process runs. */
    const runOnProcess = (host: ClusterHost, step: (process: HostProcess) => HostAction[]): void => {
        const { process } = host;
        if (process === undefined) {
            return;
        }
        if (host.heldCallbacks !== undefined) {
            host.heldCallbacks.push(() => runOnProcess(host, step));
            return;
        }
        runActions(host, step(process));
    };

    const sendMessage = (from: string, to: string, message: unknown): void => {
        if (cuts.has(`${from}>${to}`) || random.next() < faults.lossShare) {
            return;
        }
        const copies = random.next() < faults.duplicateShare ? 2 : 1;
        for (let copy = 0; copy < copies; copy += 1) {
            timeline.after(drawDelayMs(), () => {
                const host = hosts.get(to)!;
                runOnProcess(host, process => process.receive(from, message, localTimeOf(host)));
            });
        }
    };

    const drawDelayMs = (): number => {
        const directMs = 1 + random.next() * faults.maxDelayMs;
        return random.next() < faults.longDelayShare ? directMs * longDelayFactor * random.next() : directMs;
    };

    const sendReply = (requestId: number, reply: StateReply): void => {
        if (random.next() < faults.lossShare) {
            return;
        }
        timeline.after(1 + random.next() * faults.maxDelayMs, () => {
            pendingReplies.get(requestId)?.(reply);
            pendingReplies.delete(requestId);
        });
    };

    const actionHandlers: { [K in HostAction["kind"]]: (host: ClusterHost, action: Extract<HostAction, { kind: K; }>) => void; } =
        {
            write: (_host, action) => action.run(),
            send: (host, action) => sendMessage(host.hostId, action.to, action.message),
            reply: (_host, action) => sendReply(action.requestId, action.reply),
        };

    const runActions = (host: ClusterHost, actions: HostAction[]): void => {
        const isCrashing = random.next() < faults.crashShare && actions.length > 0;
        const completedActions = isCrashing ? random.below(actions.length + 1) : actions.length;
        for (const action of actions.slice(0, completedActions)) {
            (actionHandlers[action.kind] as (owner: ClusterHost, value: HostAction) => void)(host, action);
        }
        if (isCrashing) {
            crash(host.hostId);
        }
    };

    const scheduleTicks = (host: ClusterHost, startNumber: number): void => {
        timeline.after(tickMs * (0.75 + random.next() / 2), () => {
            if (host.startCount === startNumber && host.process !== undefined) {
                // A paused process does not accumulate its own ticks.
                if (host.heldCallbacks === undefined) {
                    runOnProcess(host, process => process.tick(localTimeOf(host)));
                }
                scheduleTicks(host, startNumber);
            }
        });
    };

    const start = (hostId: string): void => {
        const host = hosts.get(hostId)!;
        if (host.process !== undefined) {
            return;
        }
        host.startCount += 1;
        host.clockRate = minClockRate + random.next() * (maxClockRate - minClockRate);
        host.process = host.disk.start(createRandom(random.below(maxSeed)));
        scheduleTicks(host, host.startCount);
    };

    const resume = (hostId: string): void => {
        const host = hosts.get(hostId)!;
        const heldCallbacks = host.heldCallbacks ?? [];
        host.heldCallbacks = undefined;
        for (const run of heldCallbacks) {
            run();
        }
    };

    for (const hostId of hostIds) {
        start(hostId);
    }

    return {
        hostIds,
        request: (hostId, request, onReply) => {
            const requestId = nextRequestId;
            nextRequestId += 1;
            pendingReplies.set(requestId, onReply);
            timeline.after(1 + random.next() * faults.maxDelayMs, () => {
                const host = hosts.get(hostId)!;
                runOnProcess(host, process => process.request(requestId, request, localTimeOf(host)));
            });
        },
        crash,
        start,
        loseDisk: hostId => {
            crash(hostId);
            faultCounts.lostDisks += 1;
            hosts.get(hostId)!.disk.eraseContents();
        },
        pause: hostId => {
            hosts.get(hostId)!.heldCallbacks ??= [];
        },
        resume,
        setCut: (from, to, isCut) => {
            if (isCut) {
                cuts.add(`${from}>${to}`);
                return;
            }
            cuts.delete(`${from}>${to}`);
        },
        setFaults: newFaults => {
            faults = newFaults;
        },
        allRecovered: () => [...hosts.values()].every(host => host.process?.isRecovered() === true),
        believedLeader: () => [...hosts.values()].find(host => host.process?.isLeader())?.hostId,
        faultCounts: () => faultCounts,
    };
};
