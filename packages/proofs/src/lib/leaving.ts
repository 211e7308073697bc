/** Proof: a backend server that leaves, or is gone, gets no new work after 3 s, whatever its announcements met on the way. */
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

const cases = 100;
const hostCount = 5;
const lengthMs = 14_000;
const tickMs = 25;
const announcePeriodMs = 700;
/** From the brief and the target: the last new request to a leaver. */
const limitMs = 3000;
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

/** What happens in a case. */
interface LeavingCase {
    seed: number;
    /** When the backend server leaves or dies. */
    endsAt: number;
    /** Whether it says that it leaves; otherwise it is gone without a word. */
    says: boolean;
    /** Host whose process stops for a while, and then wakes with what it believed. */
    frozenHost: number;
    frozenFrom: number;
    frozenUntil: number;
    /** Offset of each host's clock. */
    clocks: number[];
    /** Hosts that the backend server announces itself to. */
    targets: number[];
}

const drawCase = (random: Random): LeavingCase => {
    const frozenFrom = random.below(lengthMs);
    return {
        seed: random.below(1_000_000),
        endsAt: 3000 + random.below(6000),
        says: random.next() < 0.7,
        frozenHost: random.below(hostCount),
        frozenFrom,
        frozenUntil: frozenFrom + (random.next() < 0.5 ? random.below(5000) : 0),
        clocks: Array.from({ length: hostCount }, () => random.below(10_000_000)),
        targets: [random.below(hostCount), random.below(hostCount)],
    };
};

interface World {
    nodes: EntryNode[];
    naive: NaiveDirectory[];
    links: FailingLinks;
}

const createWorld = (drawn: LeavingCase): World => {
    const infos = Array.from({ length: hostCount }, (_, index) => hostInfo(index));
    return {
        nodes: infos.map((self, index) =>
            createEntryNode({ self, incarnation: index + 1, seeds: infos, random: createRandom(drawn.seed + index) })
        ),
        naive: infos.map(() => createNaiveDirectory()),
        links: createFailingLinks({ random: createRandom(drawn.seed), lengthMs, failingShare }),
    };
};

/** Runs one case; tells which version still gave work when it no longer might. */
const runCase = (drawn: LeavingCase): { naive: boolean; own: boolean; } => {
    const { nodes, naive, links } = createWorld(drawn);
    const echoes = new Map<number, { clock: number; heardAt: number; }>();
    const violated = { naive: false, own: false };
    let sequence = 0;
    let now = 0;

    const isFrozen = (index: number): boolean => index === drawn.frozenHost && now >= drawn.frozenFrom && now < drawn.frozenUntil;
    const clockOf = (index: number): number => now + drawn.clocks[index]!;

    const carryOut = (index: number, actions: EntryAction[]): void => {
        for (const action of actions) {
            if (action.kind !== EntryActionKind.Send) {
                continue;
            }
            const to = Number(action.toHostId.slice("host-".length));
            const { message } = action;
            links.send(`host-${index}`, action.toHostId, now, () =>
                receive(to, () => {
                    if (message.kind === FleetMessageKind.Relay && message.message.kind === RelayMessageKind.Relay) {
                        naive[to]!.announce(message.message.announcement, now);
                    }
                    return nodes[to]!.step({ kind: EntryEventKind.Message, fromHostId: `host-${index}`, message }, clockOf(to));
                }));
        }
    };

    const held: (() => void)[] = [];
    /** A frozen process reads what has arrived only when it wakes. */
    const receive = (index: number, step: () => EntryAction[]): void => {
        if (isFrozen(index)) {
            held.push(() => receive(index, step));
            return;
        }
        carryOut(index, step());
    };

    const announceTo = (index: number, announcement: Announcement): void => {
        const heard = echoes.get(index);
        const echo: ClockEcho | undefined = heard === undefined
            ? undefined
            : { incarnation: index + 1, clock: heard.clock, elapsedMs: now - heard.heardAt };
        links.send("server", `host-${index}`, now, () =>
            receive(index, () => {
                const clock = clockOf(index);
                links.send(`host-${index}`, "server", now, () => echoes.set(index, { clock, heardAt: now }));
                naive[index]!.announce(announcement, now);
                return nodes[index]!.step({ kind: EntryEventKind.Announce, announcement, echo }, clock);
            }));
    };

    const announce = (): void => {
        const isOver = now >= drawn.endsAt;
        if (isOver && !drawn.says) {
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
            state: isOver ? ServerState.Leaving : ServerState.Ready,
            cold: false,
        };
        for (const target of new Set(drawn.targets)) {
            announceTo(target, announcement);
        }
    };

    const check = (): void => {
        if (now <= drawn.endsAt + limitMs) {
            return;
        }
        for (let index = 0; index < hostCount; index += 1) {
            // A frozen process sends nothing.
            if (!isFrozen(index)) {
                violated.own ||= (nodes[index]!.pools().find(service)?.memberCount() ?? 0) > 0;
                violated.naive ||= naive[index]!.isMember(serverId, now);
            }
        }
    };

    for (const [index, node] of nodes.entries()) {
        carryOut(
            index,
            node.step({ kind: EntryEventKind.Tables, versioned: { version: { epoch: 0, index: 1 }, tables } }, clockOf(index)),
        );
    }
    for (; now < lengthMs; now += tickMs) {
        links.run(now);
        for (const deliver of held.splice(0)) {
            deliver();
        }
        if (now % announcePeriodMs === 0) {
            announce();
        }
        for (const [index, node] of nodes.entries()) {
            if (!isFrozen(index)) {
                carryOut(index, node.step({ kind: EntryEventKind.Tick }, clockOf(index)));
            }
        }
        check();
    }
    return violated;
};

/** Runs the proof of leaving. */
export const proveLeaving: Proof = options => {
    const random = createRandom(options.seed);
    const notes: string[] = [];
    let naiveViolated = 0;
    let ownViolated = 0;
    for (let index = 0; index < cases; index += 1) {
        const drawn = drawCase(random);
        const violated = runCase(drawn);
        naiveViolated += violated.naive ? 1 : 0;
        ownViolated += violated.own ? 1 : 0;
        if (violated.own) {
            notes.push(`case ${index}: a host still had the member; ends at ${drawn.endsAt}, says ${drawn.says}`);
        }
    }
    return Promise.resolve({ cases, naiveViolated, ownViolated, notes });
};
