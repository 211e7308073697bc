/** Runs entry nodes in one process that exchange messages in memory, to measure the cost of control traffic (no sockets, fake time). */
import {
    createEntryNode,
    createRandom,
    DetectionMode,
    EntryActionKind,
    EntryEventKind,
    FleetMessageKind,
    ServerState,
} from "@cassiapick/core";
import type {
    Announcement,
    ClockEcho,
    EntryAction,
    EntryEvent,
    EntryNode,
    FleetMessage,
    HostInfo,
    Tables,
} from "@cassiapick/core";
import { encodeFrame } from "@cassiapick/wire";

/** Options of {@link createLoopbackFleet}. */
export interface LoopbackFleetOptions {
    hosts: number;
    /** Number of backend servers, spread over services and regions. */
    servers: number;
    services: number;
    seed: number;
}

/** Control traffic of the whole fleet. */
export interface ControlTraffic {
    /** Number of messages. */
    messages: Record<FleetMessageKind, number>;
    /** Encoded bytes, including frame overhead. */
    bytes: Record<FleetMessageKind, number>;
    /** Bytes of the announcements of backend servers over HTTP, including their answers. */
    announceBytes: number;
    /** Time spent in the steps of all nodes, in milliseconds. */
    stepMs: number;
    /** Simulated time, in milliseconds. */
    simulatedMs: number;
}

/** A fleet in one process. */
export interface LoopbackFleet {
    nodes: EntryNode[];
    /** Runs for `simulatedMs` of fake time and returns the control traffic of that time. */
    run(simulatedMs: number): ControlTraffic;
}

const tickIntervalMs = 25;
const announceIntervalMs = 700;
/** Request line and headers of an announcement plus its complete answer, as the stand-in and the entry host send them. */
const announceOverheadBytes = 620;
const regions = 3;
const zonesPerRegion = 2;
/** Channel name in the RPC envelope around each message. */
const channel = "fleet";

const zeroCounts = (): Record<FleetMessageKind, number> => ({
    [FleetMessageKind.Membership]: 0,
    [FleetMessageKind.Relay]: 0,
    [FleetMessageKind.Claim]: 0,
    [FleetMessageKind.Evidence]: 0,
    [FleetMessageKind.RequestEvidence]: 0,
});

const createHostInfo = (index: number): HostInfo => ({
    hostId: `entry-${index}`,
    region: `region-${index % regions}`,
    availabilityZone: `zone-${index % (regions * zonesPerRegion)}`,
    fleetHost: "127.0.0.1",
    fleetPort: 7000 + index,
    callerHost: "127.0.0.1",
    callerPort: 17_000 + index,
    adminHost: "127.0.0.1",
    adminPort: 27_000 + index,
});

const createAnnouncement = (index: number, services: number): Omit<Announcement, "sequence"> => ({
    id: `server-${index}`,
    host: "127.0.0.1",
    port: 37_000 + index % 20_000,
    region: `region-${index % regions}`,
    availabilityZone: `zone-${index % (regions * zonesPerRegion)}`,
    services: [`service-${index % services}`],
    slots: 3,
    incarnation: 1,
    state: ServerState.Ready,
    cold: false,
});

const createTables = (services: number): Tables => ({
    routes: [],
    pools: Array.from({ length: services }, (_, index) => ({
        destination: `service-${index}`,
        service: `service-${index}`,
        floorShare: 0.5,
        detection: DetectionMode.Prompt,
    })),
});

/** Creates a fleet in which each host has all hosts as seeds. */
export const createLoopbackFleet = (options: LoopbackFleetOptions): LoopbackFleet => {
    const infos = Array.from({ length: options.hosts }, (_, index) => createHostInfo(index));
    const nodes = infos.map((self, index) =>
        createEntryNode({ self, incarnation: 1000 + index, seeds: infos, random: createRandom(options.seed + index) })
    );
    const indexOf = new Map(infos.map((info, index) => [info.hostId, index]));
    const random = createRandom(options.seed);
    let now = 0;
    let sequence = 0;
    let inTransit: { fromHostId: string; toIndex: number; message: FleetMessage; }[] = [];
    let traffic: ControlTraffic;

    const countMessage = (message: FleetMessage): void => {
        traffic.messages[message.kind] += 1;
        traffic.bytes[message.kind] += encodeFrame({ kind: "notice", channel, body: message }).length;
    };

    const queueMessages = (index: number, actions: EntryAction[]): void => {
        for (const action of actions) {
            const toIndex = action.kind === EntryActionKind.Send ? indexOf.get(action.toHostId) : undefined;
            if (action.kind === EntryActionKind.Send && toIndex !== undefined) {
                countMessage(action.message);
                inTransit.push({ fromHostId: infos[index]!.hostId, toIndex, message: action.message });
            }
        }
    };

    const step = (index: number, event: EntryEvent): void => {
        const startedAt = performance.now();
        const actions = nodes[index]!.step(event, now);
        traffic.stepMs += performance.now() - startedAt;
        queueMessages(index, actions);
    };

    /** Creates the clock echo that a real backend server returns to a host; here every host's clock is the fake clock. */
    const createClockEcho = (index: number): ClockEcho => ({ incarnation: 1000 + index, clock: now, elapsedMs: 0 });

    const announce = (serverIndex: number): void => {
        sequence += 1;
        const announcement: Announcement = { ...createAnnouncement(serverIndex, options.services), sequence };
        for (const target of nodes[serverIndex % options.hosts]!.announceTargets(announcement)) {
            const hostIndex = indexOf.get(target.hostId)!;
            const echo = createClockEcho(hostIndex);
            traffic.announceBytes += announceOverheadBytes + JSON.stringify({ ...announcement, echo }).length;
            step(hostIndex, { kind: EntryEventKind.Announce, announcement, echo });
        }
    };

    const runTick = (): void => {
        const arrived = inTransit;
        inTransit = [];
        for (const { fromHostId, toIndex, message } of arrived) {
            step(toIndex, { kind: EntryEventKind.Message, fromHostId, message });
        }
        for (let serverIndex = 0; serverIndex < options.servers; serverIndex += 1) {
            const phaseMs = serverIndex * tickIntervalMs % announceIntervalMs;
            if ((now - phaseMs) % announceIntervalMs === 0) {
                announce(serverIndex);
            }
        }
        for (let index = 0; index < nodes.length; index += 1) {
            step(index, { kind: EntryEventKind.Tick });
        }
        now += tickIntervalMs;
    };

    const run = (simulatedMs: number): ControlTraffic => {
        traffic = { messages: zeroCounts(), bytes: zeroCounts(), announceBytes: 0, stepMs: 0, simulatedMs };
        const endAt = now + simulatedMs;
        while (now < endAt) {
            runTick();
        }
        return traffic;
    };

    traffic = { messages: zeroCounts(), bytes: zeroCounts(), announceBytes: 0, stepMs: 0, simulatedMs: 0 };
    for (const [index] of nodes.entries()) {
        step(index, {
            kind: EntryEventKind.Tables,
            versioned: { version: { epoch: 0, index: 1 }, tables: createTables(options.services) },
        });
    }
    // Starts the fake clock at a random multiple of the tick interval, derived from the seed, so that pings do not all fall into one tick.
    now = random.below(tickIntervalMs) * tickIntervalMs;
    now -= now % tickIntervalMs;
    return { nodes, run };
};
