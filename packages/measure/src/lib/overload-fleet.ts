/** The fleet of the measurement of overload: 40 entry hosts and 12 backend servers of 3 slots in three regions. */
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
const leaseMs = 250;

/** The share of callers that hold an address that is no longer the owner's. */
const staleShare = 0.1;

export enum FleetMode {
    /** One owner for each region. */
    Owners = "owners",
    /** Owners that also take one slot of each member of other regions. */
    BorrowingOwners = "owners, borrowing",
    /** Every host serves all by power of two choices. */
    TwoChoices = "two choices",
    /** Every host serves all with slots that are leased to it. */
    LeasedSlots = "leased slots",
}

/** One entry host of the measurement. */
export interface FleetHost {
    info: OwnerCandidate;
    scheduler: Scheduler;
    entry: FakeEntry;
    isDown: boolean;
}

/** Where a request goes. */
export interface FleetTarget {
    host: FleetHost;
    /** Hops between entry hosts. */
    hops: number;
}

/** The running fleet. */
export interface Fleet {
    /** Where a caller of the region arrives in the end. */
    route(region: string): FleetTarget;
    /** Stops the owner of the region, or, without owners, one of its hosts. */
    crash(region: string): void;
    /** The other hosts learn of the crash, and the first stand-by becomes the owner. */
    learnCrash(region: string): void;
    attempts(): number;
    sheds(): number;
}

/** Options of {@link createFleet}. */
export interface FleetCfg {
    mode: FleetMode;
    timeline: Timeline;
    random: Random;
    untilMs: number;
    /** The share of the first region's callers that reach the stand-by in place of a living owner. */
    splitShare: number;
    answer(request: FakeRequest, answer: FakeAnswer): void;
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

const latencyOf = (host: OwnerCandidate, server: FakeServer): number => {
    if (host.region !== server.region) {
        return betweenRegionsMs;
    }
    return host.availabilityZone === server.availabilityZone ? sameZoneMs : betweenZonesMs;
};

const toMember = (server: FakeServer, slots = server.slots): SchedulerMember => {
    const { serverId, region, availabilityZone } = server;
    return { serverId, region, availabilityZone, slots, cold: false, keptByFloor: false };
};

const createModeScheduler = (cfg: FleetCfg, info: OwnerCandidate): Scheduler => {
    const { region, availabilityZone } = info;
    const remoteSlots = cfg.mode === FleetMode.BorrowingOwners ? 1 : 0;
    return cfg.mode === FleetMode.TwoChoices
        ? createTwoChoicesScheduler(region, cfg.random)
        : createScheduler({ region, availabilityZone, queueLimit, remoteSlots });
};

/** Creates the fleet, with every member known everywhere. */
export const createFleet = (cfg: FleetCfg): Fleet => {
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
            latencyMs: server => latencyOf(info, server),
            onAnswer: (request, answer) => cfg.answer(request, answer),
        });
        return { info, scheduler, entry, isDown: false };
    };

    const hosts = Array.from({ length: hostCount }, (_, index) => createHost(index));
    const known = new Set(hosts);

    const ownerNames = (region: string): string[] => {
        const { owners, standBys } = ownersOf({ service, region, hosts: [...known].map(host => host.info), count: 1 });
        return [...owners, ...standBys];
    };

    // The addresses that callers of a region are told: the owner, then the stand-bys.
    const told = new Map(regions.map(region => [region, ownerNames(region)]));

    const hostNamed = (hostId: string): FleetHost => hosts.find(host => host.info.hostId === hostId)!;

    const share = (host: FleetHost, next: SlotShare): void => host.entry.feed({ kind: SchedulerEventKind.Share, share: next });

    const routeToOwner = (region: string): FleetTarget => {
        const live = told.get(region)!.map(hostNamed).filter(candidate => !candidate.isDown);
        const isSplit = region === regions[0] && random.next() < cfg.splitShare;
        const host = live[isSplit ? 1 : 0]!;
        return { host, hops: random.next() < staleShare ? 1 : 0 };
    };

    const routeToAny = (region: string): FleetTarget => {
        const near = hosts.filter(host => host.info.region === region && !host.isDown);
        return { host: near[random.below(near.length)]!, hops: 0 };
    };

    const leaseRegion = (region: string): void => {
        const near = hosts.filter(host => host.info.region === region && !host.isDown);
        const leases = new Map(near.map(host => [host, new Map<string, number>()]));
        const wanted = near.map(host => ({ host, queued: host.scheduler.queued() }));
        for (const server of servers.filter(candidate => candidate.region === region)) {
            let free = server.slots;
            for (const host of near) {
                const busy = host.scheduler.inFlight(server.serverId);
                leases.get(host)!.set(server.serverId, busy);
                free -= busy;
            }
            for (; free > 0; free -= 1) {
                const most = Math.max(...wanted.map(wish => wish.queued));
                const neediest = wanted.filter(wish => wish.queued === most);
                const wish = neediest[random.below(neediest.length)]!;
                wish.queued -= 1;
                const lease = leases.get(wish.host)!;
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

    const planLeases = (): void => {
        for (let at = 0; at < cfg.untilMs; at += leaseMs) {
            timeline.at(at, () => regions.forEach(leaseRegion));
        }
    };

    const start = (): void => {
        if (mode === FleetMode.LeasedSlots) {
            planLeases();
            return;
        }
        for (const host of hosts) {
            host.entry.feed({ kind: SchedulerEventKind.Members, members: servers.map(server => toMember(server)) });
            if (hasOwners && told.get(host.info.region)![0] !== host.info.hostId) {
                share(host, { kind: SlotShareKind.StandBy });
            }
        }
    };

    const crash = (region: string): void => {
        const host = hasOwners ? hostNamed(told.get(region)![0]!) : routeToAny(region).host;
        host.isDown = true;
        host.entry.crash();
    };

    const learnCrash = (region: string): void => {
        for (const host of hosts.filter(candidate => candidate.isDown)) {
            known.delete(host);
        }
        told.set(region, ownerNames(region));
        if (hasOwners) {
            share(hostNamed(told.get(region)![0]!), { kind: SlotShareKind.Owner, ownerIndex: 0, owners: 1 });
        }
    };

    const sum = (key: "attempts" | "sheds"): number => hosts.reduce((total, host) => total + host.entry.counts()[key], 0);

    start();
    return {
        route: hasOwners ? routeToOwner : routeToAny,
        crash,
        learnCrash,
        attempts: () => sum("attempts"),
        sheds: () => sum("sheds"),
    };
};
