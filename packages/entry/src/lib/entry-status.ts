/** Builds the status that an entry host answers to operators. */
import { candidateHostsOf, HostState, MemberState, ServerState } from "@cassiapick/core";
import type {
    Announcement,
    BurnStatus,
    EntryNode,
    EntryStatus,
    HostInfo,
    MemberStatus,
    PoolController,
    PoolStatus,
} from "@cassiapick/core";

/** Options of {@link buildEntryStatus}. */
export interface EntryStatusOptions {
    node: EntryNode;
    self: HostInfo;
    startedAt: number;
    nowMs: number;
    burn: BurnStatus;
}

const reasons: Readonly<Record<MemberState, string>> = {
    [MemberState.Healthy]: "",
    [MemberState.Cold]: "It has just started and is given work slowly.",
    [MemberState.Suspected]: "Evidence gathers against it.",
    [MemberState.KeptByFloor]: "It seems ill, but the floor of the pool keeps it.",
    [MemberState.Ejected]: "It answers worse than the other backend servers of the pool.",
    [MemberState.Leaving]: "It has said that it leaves.",
};

const stateOf = (pool: PoolController, member: Announcement): MemberState => {
    const { ejected, keptByFloor } = pool.view();
    if (member.state === ServerState.Leaving) {
        return MemberState.Leaving;
    }
    if (ejected.includes(member.id)) {
        return MemberState.Ejected;
    }
    if (keptByFloor.includes(member.id)) {
        return MemberState.KeptByFloor;
    }
    return member.cold ? MemberState.Cold : MemberState.Healthy;
};

const memberStatus = (pool: PoolController, member: Announcement): MemberStatus => {
    const state = stateOf(pool, member);
    return {
        serverId: member.id,
        address: `${member.host}:${member.port}`,
        availabilityZone: member.availabilityZone,
        state,
        slots: member.slots,
        inFlight: pool.inFlight(member.id),
        evidence: pool.evidence(member.id),
        reason: reasons[state],
    };
};

const poolStatus = (options: EntryStatusOptions, pool: PoolController): PoolStatus => {
    const { destination, service } = pool.pool();
    const hosts = options.node.membership().usableHosts();
    return {
        destination,
        service,
        floorSlots: pool.floorSlots(),
        queued: pool.queuedCount(),
        ownerHostId: candidateHostsOf(service, options.self.region, hosts)[0]?.hostId,
        members: pool.members().map(member => memberStatus(pool, member)),
    };
};

/** Builds the status of one host. */
export const buildEntryStatus = (options: EntryStatusOptions): EntryStatus => {
    const { node, self } = options;
    const records = node.membership().records();
    return {
        hostId: self.hostId,
        region: self.region,
        availabilityZone: self.availabilityZone,
        callerAddress: `${self.callerHost}:${self.callerPort}`,
        version: node.version(),
        draining: node.isDraining(),
        startedAt: options.startedAt,
        incarnation: options.startedAt,
        now: options.nowMs,
        pools: node.pools().all().map(pool => poolStatus(options, pool)),
        peers: records.filter(record => record.info.hostId !== self.hostId).map(record => ({
            hostId: record.info.hostId,
            alive: record.state <= HostState.Suspect,
            adminAddress: `${record.info.adminHost}:${record.info.adminPort}`,
            version: record.version,
        })),
        burn: options.burn,
    };
};
