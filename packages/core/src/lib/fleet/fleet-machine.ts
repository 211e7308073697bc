/** Replicated state machine of the fleet view: the published configuration, the backend servers and the hosts. */
import { isHigherNumber } from "../gateway/config-number.js";
import type { ConfigNumber } from "../gateway/config-number.js";
import { FactKind, HostPhase, ServingState } from "./facts.js";
import type { Fact, FleetHost, FleetServer, RecordedQuarantine, ServerAnnouncement } from "./facts.js";

/** A configuration under a number chosen by its operator; the highest number is in force. */
export interface PublishedConfiguration {
    number: ConfigNumber;
    /** The operator's document, unchanged. */
    document: string;
}

/** The serializable state for snapshots. */
export interface FleetState {
    published?: PublishedConfiguration;
    /** Ordered by revision, oldest first. */
    servers: FleetServer[];
    hosts: FleetHost[];
    /** The number of the next new server record. */
    nextNumber: number;
    /** Quarantined requests, oldest first; absent in snapshots of earlier versions. */
    quarantined?: RecordedQuarantine[];
}

/** The replicated fleet view; identical on all state hosts that have applied the same entries. */
export interface FleetMachine {
    /** Puts `published` in force if its number is higher than the one in force; an equal number never replaces the content. */
    publish(published: PublishedConfiguration): void;
    /** Applies facts at `revision`, the index of their log entry. */
    apply(facts: readonly Fact[], revision: number): void;
    published(): PublishedConfiguration | undefined;
    server(serverId: string): FleetServer | undefined;
    /** The server process that uses an address, unless it has departed. */
    serverByAddress(address: string): FleetServer | undefined;
    host(hostId: string): FleetHost | undefined;
    servers(): Iterable<FleetServer>;
    hosts(): Iterable<FleetHost>;
    /** The servers that named a limit and have not departed. */
    limitedServers(): FleetServer[];
    /**
     * The log index of the latest change to limits or to hosts since this view was created; the shares of limits depend on
     * nothing else.
     */
    limitsRevision(): number;
    /** The log index of the latest change to hosts since this view was created. */
    hostsRevision(): number;
    /** The quarantined requests; the same object while none changes. */
    quarantined(): ReadonlyMap<string, RecordedQuarantine>;
    /** The servers that changed after `revision`, oldest change first. */
    serversChangedSince(revision: number): FleetServer[];
    /** The log index of the latest server change. */
    serversRevision(): number;
    toState(): FleetState;
}

/** Most records of departed servers that are kept to recognize delayed announcements. */
const maxDepartedServers = 1000;
/** Most quarantined requests; the oldest one makes room. */
const maxQuarantined = 1000;

/** The view before the first entry. */
export const emptyFleetState: FleetState = { servers: [], hosts: [], nextNumber: 1 };

/** Creates a fleet view that continues from `initial`. */
export const createFleetMachine = (initial: FleetState): FleetMachine => {
    let published = initial.published;
    // A Map iterates in insertion order and a changed record moves to the end, so records are ordered by revision.
    const servers = new Map(initial.servers.map(record => [record.serverId, record]));
    const hosts = new Map(initial.hosts.map(record => [record.hostId, record]));
    const serverIdByAddress = new Map<string, string>();
    let nextNumber = initial.nextNumber;
    const limitedServerIds = new Set<string>();
    let departedCount = 0;
    let newestRevision = 0;
    let limitsRevision = 0;
    let hostsRevision = 0;
    let quarantined = new Map((initial.quarantined ?? []).map(request => [request.key, request]));

    const indexRecord = (record: FleetServer): void => {
        newestRevision = Math.max(newestRevision, record.revision);
        if (record.state === ServingState.Departed) {
            departedCount += 1;
        }
        else {
            serverIdByAddress.set(record.address, record.serverId);
            if (record.limitPerS !== undefined) {
                limitedServerIds.add(record.serverId);
            }
        }
    };
    for (const record of servers.values()) {
        indexRecord(record);
    }

    const removeRecord = (record: FleetServer): void => {
        servers.delete(record.serverId);
        limitedServerIds.delete(record.serverId);
        if (record.state === ServingState.Departed) {
            departedCount -= 1;
        }
        else if (serverIdByAddress.get(record.address) === record.serverId) {
            serverIdByAddress.delete(record.address);
        }
    };

    const storeRecord = (record: FleetServer): void => {
        const previous = servers.get(record.serverId);
        if (previous !== undefined) {
            removeRecord(previous);
        }
        if (previous?.limitPerS !== undefined) {
            limitsRevision = Math.max(limitsRevision, record.revision);
        }
        servers.set(record.serverId, record);
        indexRecord(record);
    };

    const evictOldestDeparted = (): void => {
        for (const record of servers.values()) {
            if (departedCount <= maxDepartedServers) {
                return;
            }
            if (record.state === ServingState.Departed) {
                removeRecord(record);
            }
        }
    };

    const markDeparted = (record: FleetServer, revision: number): void => {
        storeRecord({ ...record, state: ServingState.Departed, revision });
        evictOldestDeparted();
    };

    /** Whether an announcement comes from a process that a newer process has replaced. */
    const isSuperseded = (server: ServerAnnouncement): boolean => {
        const known = servers.get(server.serverId);
        if (
            known !== undefined
            && (server.bornAt < known.bornAt || (server.bornAt === known.bornAt && known.state === ServingState.Departed))
        ) {
            return true;
        }
        const holder = servers.get(serverIdByAddress.get(server.address) ?? "");
        return holder !== undefined && holder.serverId !== server.serverId && server.bornAt < holder.bornAt;
    };

    const createRecord = (server: ServerAnnouncement, keeper: string, at: number, revision: number): FleetServer => {
        const number = nextNumber;
        nextNumber += 1;
        return {
            number,
            serverId: server.serverId,
            service: server.service,
            address: server.address,
            availabilityZone: server.availabilityZone,
            slots: server.slots,
            state: server.state,
            bornAt: server.bornAt,
            warmAt: at + server.warmupLeftMs,
            silent: false,
            keeper,
            revision,
        };
    };

    const applyServer = (fact: Extract<Fact, { kind: FactKind.Server; }>, revision: number): void => {
        const { server, keeper, at } = fact;
        if (isSuperseded(server)) {
            return;
        }
        const holder = servers.get(serverIdByAddress.get(server.address) ?? "");
        if (holder !== undefined && holder.serverId !== server.serverId) {
            markDeparted(holder, revision);
        }
        const known = servers.get(server.serverId);
        if (known?.bornAt !== server.bornAt || known.service !== server.service || known.address !== server.address) {
            storeRecord(createRecord(server, keeper, at, revision));
            return;
        }
        // A process that announced its departure stays draining, also when a delayed announcement arrives.
        const state = known.state === ServingState.Draining ? ServingState.Draining : server.state;
        const isVisibleChange = state !== known.state || known.silent || server.slots !== known.slots;
        if (isVisibleChange) {
            storeRecord({ ...known, state, slots: server.slots, silent: false, keeper, revision });
            return;
        }
        servers.set(known.serverId, { ...known, keeper });
    };

    const handlers: { [K in FactKind]: (fact: Extract<Fact, { kind: K; }>, revision: number) => void; } = {
        [FactKind.Server]: applyServer,
        [FactKind.ServerLeft]: (fact, revision) => {
            const known = servers.get(fact.serverId);
            const isCurrentProcess = known !== undefined && (fact.bornAt === undefined || fact.bornAt === known.bornAt);
            if (isCurrentProcess && known.state !== ServingState.Departed) {
                markDeparted(known, revision);
            }
        },
        [FactKind.ServerSilence]: (fact, revision) => {
            const known = servers.get(fact.serverId);
            if (known?.bornAt === fact.bornAt && known.keeper === fact.keeper && known.silent !== fact.silent) {
                storeRecord({ ...known, silent: fact.silent, revision });
            }
        },
        [FactKind.ServerLimit]: ({ serverId, number, limitPerS }, revision) => {
            const known = servers.get(serverId);
            const isCurrent = known?.number === number && known.state !== ServingState.Departed;
            if (!isCurrent || known.limitPerS === limitPerS) {
                return;
            }
            // The records that entry hosts receive don't hold the limit, so neither order nor revision changes.
            servers.set(serverId, { ...known, limitPerS });
            limitsRevision = revision;
            if (limitPerS === undefined) {
                limitedServerIds.delete(serverId);
            }
            else {
                limitedServerIds.add(serverId);
            }
        },
        [FactKind.Host]: (fact, revision) => {
            const known = hosts.get(fact.host.hostId);
            if (known !== undefined && known.startedAt > fact.host.startedAt) {
                return;
            }
            // Only the keeper of a process may report that it has departed.
            const isFromOtherKeeper = known?.startedAt === fact.host.startedAt && known.keeper !== fact.keeper;
            if (fact.host.state === HostPhase.Departed && isFromOtherKeeper) {
                return;
            }
            hosts.delete(fact.host.hostId);
            hosts.set(fact.host.hostId, { ...fact.host, keeper: fact.keeper, revision });
            limitsRevision = revision;
            hostsRevision = revision;
        },
        [FactKind.Quarantine]: ({ request, isLifted }) => {
            const known = quarantined.get(request.key);
            const isNews = isLifted ? known !== undefined : known === undefined || request.trials > known.trials;
            if (!isNews) {
                return;
            }
            quarantined = new Map(quarantined);
            quarantined.delete(request.key);
            if (!isLifted) {
                quarantined.set(request.key, request);
            }
            if (quarantined.size > maxQuarantined) {
                quarantined.delete(quarantined.keys().next().value!);
            }
        },
    };

    const serversChangedSince = (revision: number): FleetServer[] => {
        const changed: FleetServer[] = [];
        for (const record of servers.values()) {
            if (record.revision > revision) {
                changed.push(record);
            }
        }
        return changed;
    };

    return {
        publish: candidate => {
            if (published === undefined || isHigherNumber(candidate.number, published.number)) {
                published = candidate;
            }
        },
        apply: (facts, revision) => {
            for (const fact of facts) {
                // Each handler is keyed by the kind of its fact, which the compiler can't follow through the lookup.
                (handlers[fact.kind] as (fact: Fact, revision: number) => void)(fact, revision);
            }
        },
        published: () => published,
        server: serverId => servers.get(serverId),
        serverByAddress: address => servers.get(serverIdByAddress.get(address) ?? ""),
        host: hostId => hosts.get(hostId),
        servers: () => servers.values(),
        hosts: () => hosts.values(),
        limitedServers: () => [...limitedServerIds].map(serverId => servers.get(serverId)!),
        limitsRevision: () => limitsRevision,
        hostsRevision: () => hostsRevision,
        quarantined: () => quarantined,
        serversChangedSince,
        serversRevision: () => newestRevision,
        toState: () => ({
            published,
            servers: [...servers.values()],
            hosts: [...hosts.values()],
            nextNumber,
            quarantined: [...quarantined.values()],
        }),
    };
};
