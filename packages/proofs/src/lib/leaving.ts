/** Proof: a backend server that leaves or dies gets no new requests after 3 s, even if announcements are delayed or lost. */
import { createNaiveDirectory } from "@cassiapick/baseline";
import type { NaiveDirectory } from "@cassiapick/baseline";
import {
    createEntryNode,
    createRandom,
    DetectionMode,
    EntryActionKind,
    EntryEventKind,
    FleetMessageKind,
    RelayMessageKind,
    ServerState,
} from "@cassiapick/core";
import type { Announcement, ClockEcho, EntryAction, EntryNode, HostInfo, Random, Tables } from "@cassiapick/core";
import { createFailingLinks } from "./failing-links.js";
import type { FailingLinks } from "./failing-links.js";
import type { Proof } from "./proof.js";

const caseCount = 100;
const hostCount = 5;
const caseMs = 14_000;
const tickMs = 25;
const announceIntervalMs = 700;
/** The longest time after the departure in which a backend server may still get a new request, in milliseconds. */
const maxNewWorkMs = 3000;
const failingShare = 0.8;
const service = "s";
const serverId = "server";

const tables: Tables = {
    routes: [],
    pools: [{ destination: "d", service, floorShare: 0, detection: DetectionMode.Prompt }],
};

const hostInfo = (index: number): HostInfo => ({
    hostId: `host-${index}`,
    region: "r",
    availabilityZone: `z${index % 2}`,
    fleetHost: "127.0.0.1",
    fleetPort: index,
    callerHost: "127.0.0.1",
    callerPort: index,
    adminHost: "127.0.0.1",
    adminPort: index,
});

/** One random case. Times are in milliseconds. */
interface LeavingCase {
    seed: number;
    /** When the backend server leaves or dies. */
    departsAt: number;
    /** Whether it announces that it leaves; otherwise its announcements just stop. */
    announcesLeaving: boolean;
    /** The host whose process is paused for some time and then resumes with its outdated state. */
    pausedHostIndex: number;
    pausedFrom: number;
    pausedUntil: number;
    /** The clock offset of each host. */
    clockOffsetsMs: number[];
    /** The hosts to which the backend server sends its announcements. */
    targetHostIndexes: number[];
}

const drawCase = (random: Random): LeavingCase => {
    const pausedFrom = random.below(caseMs);
    return {
        seed: random.below(1_000_000),
        departsAt: 3000 + random.below(6000),
        announcesLeaving: random.next() < 0.7,
        pausedHostIndex: random.below(hostCount),
        pausedFrom,
        pausedUntil: pausedFrom + (random.next() < 0.5 ? random.below(5000) : 0),
        clockOffsetsMs: Array.from({ length: hostCount }, () => random.below(10_000_000)),
        targetHostIndexes: [random.below(hostCount), random.below(hostCount)],
    };
};

interface Simulation {
    nodes: EntryNode[];
    naiveDirectories: NaiveDirectory[];
    links: FailingLinks;
}

const createSimulation = (testCase: LeavingCase): Simulation => {
    const hostInfos = Array.from({ length: hostCount }, (_, index) => hostInfo(index));
    return {
        nodes: hostInfos.map((self, index) =>
            createEntryNode({ self, incarnation: index + 1, seeds: hostInfos, random: createRandom(testCase.seed + index) })
        ),
        naiveDirectories: hostInfos.map(() => createNaiveDirectory()),
        links: createFailingLinks({ random: createRandom(testCase.seed), durationMs: caseMs, failingShare }),
    };
};

/** Runs one case; returns which implementation still had the member on a host after the limit. */
const runCase = (testCase: LeavingCase): { naive: boolean; cassiapick: boolean; } => {
    const { nodes, naiveDirectories, links } = createSimulation(testCase);
    const clockEchoes = new Map<number, { clock: number; receivedAt: number; }>();
    const violated = { naive: false, cassiapick: false };
    let sequence = 0;
    let now = 0;

    const isPaused = (index: number): boolean =>
        index === testCase.pausedHostIndex && now >= testCase.pausedFrom && now < testCase.pausedUntil;
    const clockOf = (index: number): number => now + testCase.clockOffsetsMs[index]!;

    const runActions = (index: number, actions: EntryAction[]): void => {
        for (const action of actions) {
            if (action.kind !== EntryActionKind.Send) {
                continue;
            }
            const to = Number(action.toHostId.slice("host-".length));
            const { message } = action;
            links.send(`host-${index}`, action.toHostId, now, () =>
                receive(to, () => {
                    if (message.kind === FleetMessageKind.Relay && message.message.kind === RelayMessageKind.Relay) {
                        naiveDirectories[to]!.announce(message.message.announcement, now);
                    }
                    return nodes[to]!.step({ kind: EntryEventKind.Message, fromHostId: `host-${index}`, message }, clockOf(to));
                }));
        }
    };

    const deferred: (() => void)[] = [];
    /** Runs a step at a host; a paused process reads its messages only after it resumes. */
    const receive = (index: number, step: () => EntryAction[]): void => {
        if (isPaused(index)) {
            deferred.push(() => receive(index, step));
            return;
        }
        runActions(index, step());
    };

    const announceTo = (index: number, announcement: Announcement): void => {
        const lastEcho = clockEchoes.get(index);
        const echo: ClockEcho | undefined = lastEcho === undefined
            ? undefined
            : { incarnation: index + 1, clock: lastEcho.clock, elapsedMs: now - lastEcho.receivedAt };
        links.send("server", `host-${index}`, now, () =>
            receive(index, () => {
                const clock = clockOf(index);
                links.send(`host-${index}`, "server", now, () => clockEchoes.set(index, { clock, receivedAt: now }));
                naiveDirectories[index]!.announce(announcement, now);
                return nodes[index]!.step({ kind: EntryEventKind.Announce, announcement, echo }, clock);
            }));
    };

    const announce = (): void => {
        const hasDeparted = now >= testCase.departsAt;
        if (hasDeparted && !testCase.announcesLeaving) {
            return;
        }
        sequence += 1;
        const announcement: Announcement = {
            id: serverId,
            host: "127.0.0.1",
            port: 1,
            region: "r",
            availabilityZone: "z0",
            services: [service],
            slots: 3,
            incarnation: 1,
            sequence,
            state: hasDeparted ? ServerState.Leaving : ServerState.Ready,
            cold: false,
        };
        for (const target of new Set(testCase.targetHostIndexes)) {
            announceTo(target, announcement);
        }
    };

    /** Checks every running host for the member, once the limit has passed. */
    const checkMembers = (): void => {
        if (now <= testCase.departsAt + maxNewWorkMs) {
            return;
        }
        for (let index = 0; index < hostCount; index += 1) {
            // A paused process sends no requests.
            if (!isPaused(index)) {
                violated.cassiapick ||= (nodes[index]!.pools().find(service)?.memberCount() ?? 0) > 0;
                violated.naive ||= naiveDirectories[index]!.isMember(serverId, now);
            }
        }
    };

    for (const [index, node] of nodes.entries()) {
        runActions(
            index,
            node.step({ kind: EntryEventKind.Tables, versioned: { version: { epoch: 0, index: 1 }, tables } }, clockOf(index)),
        );
    }
    for (; now < caseMs; now += tickMs) {
        links.deliverDue(now);
        for (const deliver of deferred.splice(0)) {
            deliver();
        }
        if (now % announceIntervalMs === 0) {
            announce();
        }
        for (const [index, node] of nodes.entries()) {
            if (!isPaused(index)) {
                runActions(index, node.step({ kind: EntryEventKind.Tick }, clockOf(index)));
            }
        }
        checkMembers();
    }
    return violated;
};

/** Runs the proof of leaving. */
export const proveLeaving: Proof = options => {
    const random = createRandom(options.seed);
    const notes: string[] = [];
    let naiveViolations = 0;
    let cassiapickViolations = 0;
    for (let index = 0; index < caseCount; index += 1) {
        const testCase = drawCase(random);
        const violated = runCase(testCase);
        naiveViolations += violated.naive ? 1 : 0;
        cassiapickViolations += violated.cassiapick ? 1 : 0;
        if (violated.cassiapick) {
            notes.push(
                `case ${index}: a host still had the member; departure at ${testCase.departsAt} ms, announced: ${testCase.announcesLeaving}`,
            );
        }
    }
    return Promise.resolve({ cases: caseCount, naiveViolations, cassiapickViolations, notes });
};
