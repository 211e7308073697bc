/** Simulated fleet for the measurement of overload: 40 entry hosts and 12 backend servers with 3 slots each in three regions. */
import { createRetryPolicy, createScheduler, ownersOf, SchedulerEventKind, SlotShareKind } from "@cassiapick/core";
import type { OwnerCandidate, Random, Scheduler, SchedulerMember, SlotShare } from "@cassiapick/core";
import { createFakeEntry, createFakeServer } from "@cassiapick/proofs";
import type { FakeAnswer, FakeEntry, FakeRequest, FakeServer, Timeline } from "@cassiapick/proofs";
import { createTwoChoicesScheduler } from "./overload-two-choices.js";

export const regions = ["montreal", "quebec", "saguenay"];
export const slotsPerServer = 3;
export const serversPerRegion = 4;
const zonesPerRegion = 2;
const hostCount = 40;
const service = "seat-maps";

const sameZoneMs = 0.2;
export const betweenZonesMs = 1;
const betweenRegionsMs = 20;

const maxAttempts = 3;
const queueLimit = 256;
const leaseIntervalMs = 250;

/** Fraction of callers with an outdated address, whose requests take one more hop to the owner. */
const staleAddressFraction = 0.1;

/** How slots are divided among the entry hosts. */
export enum FleetMode {
    /** One owner per region. */
    Owners = "owners",
    /** One owner per region that also uses one slot of each server in other regions. */
    BorrowingOwners = "owners, borrowing",
    /** Every host selects among all servers by power of two choices. */
    TwoChoices = "two choices",
    /** Every host uses slots that are leased to it. */
    LeasedSlots = "leased slots",
}

/** One simulated entry host. */
export interface FleetHost {
    info: OwnerCandidate;
    scheduler: Scheduler;
    entry: FakeEntry;
    isDown: boolean;
}

/** Entry host that handles a request. */
export interface FleetTarget {
    host: FleetHost;
    /** Number of hops between entry hosts on the way. */
    hops: number;
}

/** The simulated fleet. */
export interface SimulatedFleet {
    /** Selects the entry host that finally handles a request from a caller in the region. */
    route(region: string): FleetTarget;
    /** Crashes the owner of the region or, without owners, one of its hosts. */
    crash(region: string): void;
    /** Removes crashed hosts from the roster and makes the first stand-by the owner. */
    failOver(region: string): void;
    /** Attempts sent to servers so far. */
    attempts(): number;
    /** Attempts that servers shed so far. */
    sheds(): number;
}

/** Options of {@link createSimulatedFleet}. */
export interface SimulatedFleetCfg {
    mode: FleetMode;
    timeline: Timeline;
    random: Random;
    endMs: number;
    /** Fraction of the first region's callers that use the stand-by although the owner is up. */
    redirectedFraction: number;
    onAnswer(request: FakeRequest, answer: FakeAnswer): void;
}

const zoneOf = (region: string, index: number): string => `${region}-${index % zonesPerRegion}`;

const createServers = (): FakeServer[] =>
    regions.flatMap(region =>
        Array.from({ length: serversPerRegion }, (_, index) => {
            const info = { serverId: `${region}-server-${index}`, region, availabilityZone: zoneOf(region, index) };
            return createFakeServer({ ...info, slots: slotsPerServer }, slotsPerServer);
        })
    );

const hostInfo = (index: number): OwnerCandidate => {
    const region = regions[index % regions.length]!;
    return { hostId: `host-${index}`, region, availabilityZone: zoneOf(region, Math.floor(index / regions.length)) };
};

const latencyMsOf = (host: OwnerCandidate, server: FakeServer): number => {
    if (host.region !== server.region) {
        return betweenRegionsMs;
    }
    return host.availabilityZone === server.availabilityZone ? sameZoneMs : betweenZonesMs;
};

const toMember = (server: FakeServer, slots = server.slots): SchedulerMember => {
    const { serverId, region, availabilityZone } = server;
    return { serverId, region, availabilityZone, slots, cold: false, keptByFloor: false };
};

const createModeScheduler = (cfg: SimulatedFleetCfg, info: OwnerCandidate): Scheduler => {
    const { region, availabilityZone } = info;
    const remoteSlots = cfg.mode === FleetMode.BorrowingOwners ? 1 : 0;
    return cfg.mode === FleetMode.TwoChoices
        ? createTwoChoicesScheduler(region, cfg.random)
        : createScheduler({ region, availabilityZone, queueLimit, remoteSlots });
};

/** Creates the fleet; every host has all servers as members. */
export const createSimulatedFleet = (cfg: SimulatedFleetCfg): SimulatedFleet => {
    const { mode, timeline, random } = cfg;
    const servers = createServers();
    const serversById = new Map(servers.map(server => [server.serverId, server]));
    const hasOwners = mode === FleetMode.Owners || mode === FleetMode.BorrowingOwners;

    const createHost = (index: number): FleetHost => {
        const info = hostInfo(index);
        const scheduler = createModeScheduler(cfg, info);
        const entry = createFakeEntry({
            timeline,
            scheduler,
            retries: createRetryPolicy({ maxAttempts }),
            servers: serversById,
            latencyMs: server => latencyMsOf(info, server),
            onAnswer: (request, answer) => cfg.onAnswer(request, answer),
        });
        return { info, scheduler, entry, isDown: false };
    };

    const hosts = Array.from({ length: hostCount }, (_, index) => createHost(index));
    const knownHosts = new Set(hosts);

    const ownerHostIds = (region: string): string[] => {
        const { owners, standBys } = ownersOf({ service, region, hosts: [...knownHosts].map(host => host.info), count: 1 });
        return [...owners, ...standBys];
    };

    // Entry hosts that the callers of each region use: the owner, then the stand-bys.
    const hostIdsByRegion = new Map(regions.map(region => [region, ownerHostIds(region)]));

    const hostById = (hostId: string): FleetHost => hosts.find(host => host.info.hostId === hostId)!;

    const setSlotShare = (host: FleetHost, slotShare: SlotShare): void =>
        host.entry.feed({ kind: SchedulerEventKind.Share, share: slotShare });

    const routeToOwner = (region: string): FleetTarget => {
        const runningHosts = hostIdsByRegion.get(region)!.map(hostById).filter(candidate => !candidate.isDown);
        const isRedirected = region === regions[0] && random.next() < cfg.redirectedFraction;
        const host = runningHosts[isRedirected ? 1 : 0]!;
        return { host, hops: random.next() < staleAddressFraction ? 1 : 0 };
    };

    const routeToAny = (region: string): FleetTarget => {
        const localHosts = hosts.filter(host => host.info.region === region && !host.isDown);
        return { host: localHosts[random.below(localHosts.length)]!, hops: 0 };
    };

    const assignLeases = (region: string): void => {
        const localHosts = hosts.filter(host => host.info.region === region && !host.isDown);
        const leases = new Map(localHosts.map(host => [host, new Map<string, number>()]));
        const demands = localHosts.map(host => ({ host, queued: host.scheduler.queued() }));
        for (const server of servers.filter(candidate => candidate.region === region)) {
            let freeSlots = server.slots;
            for (const host of localHosts) {
                const inFlight = host.scheduler.inFlight(server.serverId);
                leases.get(host)!.set(server.serverId, inFlight);
                freeSlots -= inFlight;
            }
            for (; freeSlots > 0; freeSlots -= 1) {
                const maxQueued = Math.max(...demands.map(demand => demand.queued));
                const longestQueues = demands.filter(demand => demand.queued === maxQueued);
                const demand = longestQueues[random.below(longestQueues.length)]!;
                demand.queued -= 1;
                const lease = leases.get(demand.host)!;
                lease.set(server.serverId, (lease.get(server.serverId) ?? 0) + 1);
            }
        }
        for (const [host, lease] of leases) {
            const members = servers.filter(server => lease.has(server.serverId)).map(server =>
                toMember(server, lease.get(server.serverId))
            );
            host.entry.feed({ kind: SchedulerEventKind.Members, members });
        }
    };

    const scheduleLeases = (): void => {
        for (let at = 0; at < cfg.endMs; at += leaseIntervalMs) {
            timeline.at(at, () => regions.forEach(assignLeases));
        }
    };

    const initialize = (): void => {
        if (mode === FleetMode.LeasedSlots) {
            scheduleLeases();
            return;
        }
        for (const host of hosts) {
            host.entry.feed({ kind: SchedulerEventKind.Members, members: servers.map(server => toMember(server)) });
            if (hasOwners && hostIdsByRegion.get(host.info.region)![0] !== host.info.hostId) {
                setSlotShare(host, { kind: SlotShareKind.StandBy });
            }
        }
    };

    const crash = (region: string): void => {
        const host = hasOwners ? hostById(hostIdsByRegion.get(region)![0]!) : routeToAny(region).host;
        host.isDown = true;
        host.entry.crash();
    };

    const failOver = (region: string): void => {
        for (const host of hosts.filter(candidate => candidate.isDown)) {
            knownHosts.delete(host);
        }
        hostIdsByRegion.set(region, ownerHostIds(region));
        if (hasOwners) {
            setSlotShare(hostById(hostIdsByRegion.get(region)![0]!), { kind: SlotShareKind.Owner, ownerIndex: 0, owners: 1 });
        }
    };

    const sum = (key: "attempts" | "sheds"): number => hosts.reduce((total, host) => total + host.entry.counts()[key], 0);

    initialize();
    return {
        route: hasOwners ? routeToOwner : routeToAny,
        crash,
        failOver,
        attempts: () => sum("attempts"),
        sheds: () => sum("sheds"),
    };
};
