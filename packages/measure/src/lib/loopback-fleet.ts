/** Entry nodes in one process that hand each other their messages, to measure what control costs (no sockets, fake time). */
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
    /** Backend servers, spread over services and regions. */
    servers: number;
    services: number;
    seed: number;
}

/** Control traffic of the whole fleet. */
export interface ControlTraffic {
    messages: Record<FleetMessageKind, number>;
    /** Encoded bytes, frames included. */
    bytes: Record<FleetMessageKind, number>;
    /** Processor time of all nodes' steps, in milliseconds. */
    stepMs: number;
    /** Simulated time, in milliseconds. */
    simulatedMs: number;
}

/** A fleet in one process. */
export interface LoopbackFleet {
    nodes: EntryNode[];
    /** Runs for a stretch of fake time and tells what it cost. */
    run(simulatedMs: number): ControlTraffic;
}

const tickMs = 25;
const announcePeriodMs = 700;
const announceCopies = 2;
const regions = 3;
const zonesPerRegion = 2;
/** An envelope of the fleet's protocol around each message. */
const channel = "fleet";

const noCounts = (): Record<FleetMessageKind, number> => ({
    [FleetMessageKind.Membership]: 0,
    [FleetMessageKind.Relay]: 0,
    [FleetMessageKind.Claim]: 0,
    [FleetMessageKind.Evidence]: 0,
});

const infoOf = (index: number): HostInfo => ({
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

const serverOf = (index: number, services: number): Omit<Announcement, "sequence"> => ({
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

const tablesFor = (services: number): Tables => ({
    routes: [],
    pools: Array.from({ length: services }, (_, index) => ({
        destination: `service-${index}`,
        service: `service-${index}`,
        floorShare: 0.5,
        detection: DetectionMode.Prompt,
    })),
});

/** Creates a fleet whose hosts know each other from their seeds. */
export const createLoopbackFleet = (options: LoopbackFleetOptions): LoopbackFleet => {
    const infos = Array.from({ length: options.hosts }, (_, index) => infoOf(index));
    const nodes = infos.map((self, index) =>
        createEntryNode({ self, incarnation: 1000 + index, seeds: infos, random: createRandom(options.seed + index) })
    );
    const indexOf = new Map(infos.map((info, index) => [info.hostId, index]));
    const random = createRandom(options.seed);
    let now = 0;
    let sequence = 0;
    let inTransit: { from: string; to: number; message: FleetMessage; }[] = [];
    let traffic: ControlTraffic;

    const count = (message: FleetMessage): void => {
        traffic.messages[message.kind] += 1;
        traffic.bytes[message.kind] += encodeFrame({ kind: "notice", channel, body: message }).length;
    };

    const take = (index: number, actions: EntryAction[]): void => {
        for (const action of actions) {
            const to = action.kind === EntryActionKind.Send ? indexOf.get(action.toHostId) : undefined;
            if (action.kind === EntryActionKind.Send && to !== undefined) {
                count(action.message);
                inTransit.push({ from: infos[index]!.hostId, to, message: action.message });
            }
        }
    };

    const step = (index: number, event: EntryEvent): void => {
        const startedAt = performance.now();
        const actions = nodes[index]!.step(event, now);
        traffic.stepMs += performance.now() - startedAt;
        take(index, actions);
    };

    /** The announcing side keeps each host's clock, as a real backend server does; here it is the fake clock itself. */
    const echoOf = (index: number): ClockEcho => ({ incarnation: 1000 + index, clock: now, elapsedMs: 0 });

    const announce = (server: number): void => {
        sequence += 1;
        const announcement: Announcement = { ...serverOf(server, options.services), sequence };
        for (let copy = 0; copy < announceCopies; copy += 1) {
            const host = (server + copy) % options.hosts;
            step(host, { kind: EntryEventKind.Announce, announcement, echo: echoOf(host) });
        }
    };

    const runTick = (): void => {
        const arriving = inTransit;
        inTransit = [];
        for (const { from, to, message } of arriving) {
            step(to, { kind: EntryEventKind.Message, fromHostId: from, message });
        }
        for (let server = 0; server < options.servers; server += 1) {
            const phase = server * tickMs % announcePeriodMs;
            if ((now - phase) % announcePeriodMs === 0) {
                announce(server);
            }
        }
        for (let index = 0; index < nodes.length; index += 1) {
            step(index, { kind: EntryEventKind.Tick });
        }
        now += tickMs;
    };

    const run = (simulatedMs: number): ControlTraffic => {
        traffic = { messages: noCounts(), bytes: noCounts(), stepMs: 0, simulatedMs };
        const until = now + simulatedMs;
        while (now < until) {
            runTick();
        }
        return traffic;
    };

    traffic = { messages: noCounts(), bytes: noCounts(), stepMs: 0, simulatedMs: 0 };
    for (const [index] of nodes.entries()) {
        step(index, {
            kind: EntryEventKind.Tables,
            versioned: { version: { epoch: 0, index: 1 }, tables: tablesFor(options.services) },
        });
    }
    // Hosts start at different moments, so that their pings do not all fall into one tick.
    now = random.below(tickMs) * tickMs;
    now -= now % tickMs;
    return { nodes, run };
};
