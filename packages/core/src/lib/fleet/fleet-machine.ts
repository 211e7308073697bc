/** The replicated view of the fleet: the published configuration, the backend servers and the hosts. */
import { FactKind, HostPhase, ServingState } from "./facts.js";
import type { Fact, FleetHost, FleetServer, ServerAnnouncement } from "./facts.js";

/** A configuration whose number its operator chose; the highest number is in force. */
export interface Published {
    number: number;
    /** The operator's document, unchanged. */
    document: string;
}

/** The view in a form for snapshots. */
export interface FleetState {
    published?: Published;
    /** Oldest change first. */
    servers: FleetServer[];
    hosts: FleetHost[];
    nextNumber: number;
}

/** The replicated view; the same on every state host that has applied the same entries. */
export interface FleetMachine {
    /** Puts `published` in force unless the number held is as high; an equal number never replaces the content. */
    publish(published: Published): void;
    /** Applies facts at `revision`, the position of their log entry. */
    apply(facts: readonly Fact[], revision: number): void;
    published(): Published | undefined;
    server(serverId: string): FleetServer | undefined;
    /** The server process that holds an address, unless it is gone. */
    serverAt(address: string): FleetServer | undefined;
    host(hostId: string): FleetHost | undefined;
    servers(): Iterable<FleetServer>;
    hosts(): Iterable<FleetHost>;
    /** Servers that changed after `revision`, oldest change first. */
    serversSince(revision: number): FleetServer[];
    /** Position of the newest change of a server. */
    serversRevision(): number;
    toState(): FleetState;
}

/** Records of servers that are gone are kept up to this number, so that late announcements can be told. */
const maxGoneServers = 1000;

/** The view before the first entry. */
export const emptyFleetState: FleetState = { servers: [], hosts: [], nextNumber: 1 };

/** Creates a view that goes on from `initial`. */
export const createFleetMachine = (initial: FleetState): FleetMachine => {
    let published = initial.published;
    // A Map keeps the order of insertion; a changed record moves to the end, so the order is that of the revisions.
    const servers = new Map(initial.servers.map(record => [record.serverId, record]));
    const hosts = new Map(initial.hosts.map(record => [record.hostId, record]));
    const byAddress = new Map<string, string>();
    let nextNumber = initial.nextNumber;
    let goneCount = 0;
    let newestRevision = 0;

    const index = (record: FleetServer): void => {
        newestRevision = Math.max(newestRevision, record.revision);
        if (record.state === ServingState.Gone) {
            goneCount += 1;
        }
        else {
            byAddress.set(record.address, record.serverId);
        }
    };
    for (const record of servers.values()) {
        index(record);
    }

    const forget = (record: FleetServer): void => {
        servers.delete(record.serverId);
        if (record.state === ServingState.Gone) {
            goneCount -= 1;
        }
        else if (byAddress.get(record.address) === record.serverId) {
            byAddress.delete(record.address);
        }
    };

    const store = (record: FleetServer): void => {
        const previous = servers.get(record.serverId);
        if (previous !== undefined) {
            forget(previous);
        }
        servers.set(record.serverId, record);
        index(record);
    };

    const dropOldestGone = (): void => {
        for (const record of servers.values()) {
            if (goneCount <= maxGoneServers) {
                return;
            }
            if (record.state === ServingState.Gone) {
                forget(record);
            }
        }
    };

    const retire = (record: FleetServer, revision: number): void => {
        store({ ...record, state: ServingState.Gone, revision });
        dropOldestGone();
    };

    /** Whether an announcement comes from a process that another one has replaced. */
    const isOutdated = (server: ServerAnnouncement): boolean => {
        const known = servers.get(server.serverId);
        if (
            known !== undefined
            && (server.bornAt < known.bornAt || (server.bornAt === known.bornAt && known.state === ServingState.Gone))
        ) {
            return true;
        }
        const holder = servers.get(byAddress.get(server.address) ?? "");
        return holder !== undefined && holder.serverId !== server.serverId && server.bornAt < holder.bornAt;
    };

    const created = (server: ServerAnnouncement, keeper: string, at: number, revision: number): FleetServer => {
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
        if (isOutdated(server)) {
            return;
        }
        const holder = servers.get(byAddress.get(server.address) ?? "");
        if (holder !== undefined && holder.serverId !== server.serverId) {
            retire(holder, revision);
        }
        const known = servers.get(server.serverId);
        if (known?.bornAt !== server.bornAt || known.service !== server.service || known.address !== server.address) {
            store(created(server, keeper, at, revision));
            return;
        }
        // A process that has said that it leaves stays leaving, whatever arrives late.
        const state = known.state === ServingState.Draining ? ServingState.Draining : server.state;
        const isVisible = state !== known.state || known.silent || server.slots !== known.slots;
        if (isVisible) {
            store({ ...known, state, slots: server.slots, silent: false, keeper, revision });
            return;
        }
        servers.set(known.serverId, { ...known, keeper });
    };

    const handlers: { [K in FactKind]: (fact: Extract<Fact, { kind: K; }>, revision: number) => void; } = {
        [FactKind.Server]: applyServer,
        [FactKind.ServerLeft]: (fact, revision) => {
            const known = servers.get(fact.serverId);
            const isMeant = known !== undefined && (fact.bornAt === undefined || fact.bornAt === known.bornAt);
            if (isMeant && known.state !== ServingState.Gone) {
                retire(known, revision);
            }
        },
        [FactKind.ServerSilence]: (fact, revision) => {
            const known = servers.get(fact.serverId);
            if (known?.bornAt === fact.bornAt && known.keeper === fact.keeper && known.silent !== fact.silent) {
                store({ ...known, silent: fact.silent, revision });
            }
        },
        [FactKind.Host]: (fact, revision) => {
            const known = hosts.get(fact.host.hostId);
            if (known !== undefined && known.startedAt > fact.host.startedAt) {
                return;
            }
            // Only the state host that watches over a process may say that it is gone.
            const isForeign = known?.startedAt === fact.host.startedAt && known.keeper !== fact.keeper;
            if (fact.host.state === HostPhase.Gone && isForeign) {
                return;
            }
            hosts.delete(fact.host.hostId);
            hosts.set(fact.host.hostId, { ...fact.host, keeper: fact.keeper, revision });
        },
    };

    const serversSince = (revision: number): FleetServer[] => {
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
            if (published === undefined || candidate.number > published.number) {
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
        serverAt: address => servers.get(byAddress.get(address) ?? ""),
        host: hostId => hosts.get(hostId),
        servers: () => servers.values(),
        hosts: () => hosts.values(),
        serversSince,
        serversRevision: () => newestRevision,
        toState: () => ({ published, servers: [...servers.values()], hosts: [...hosts.values()], nextNumber }),
    };
};
