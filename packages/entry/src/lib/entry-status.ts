/** Creates the status that an entry host serves to operators. */
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

/** Options of {@link createEntryStatus}. */
export interface EntryStatusOptions {
    node: EntryNode;
    self: HostInfo;
    /** Start of the process, in milliseconds since the Unix epoch. */
    startedAt: number;
    /** Current time, in milliseconds since the Unix epoch. */
    nowMs: number;
    burn: BurnStatus;
}

const reasonByState: Readonly<Record<MemberState, string>> = {
    [MemberState.Healthy]: "",
    [MemberState.Cold]: "It has just started; its load is increased gradually.",
    [MemberState.Suspected]: "There is evidence against it, but not enough to eject it.",
    [MemberState.KeptByFloor]: "It seems unhealthy, but the floor of the pool prevents its ejection.",
    [MemberState.Ejected]: "It performs worse than the other backend servers of the pool.",
    [MemberState.Leaving]: "It has announced that it is leaving.",
};

const memberStateOf = (pool: PoolController, member: Announcement): MemberState => {
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

const createMemberStatus = (pool: PoolController, member: Announcement): MemberStatus => {
    const state = memberStateOf(pool, member);
    return {
        serverId: member.id,
        address: `${member.host}:${member.port}`,
        availabilityZone: member.availabilityZone,
        state,
        slots: member.slots,
        inFlight: pool.inFlight(member.id),
        evidence: pool.evidence(member.id),
        reason: reasonByState[state],
    };
};

const createPoolStatus = (options: EntryStatusOptions, pool: PoolController): PoolStatus => {
    const { destination, service } = pool.pool();
    const hosts = options.node.membership().usableHosts();
    return {
        destination,
        service,
        floorSlots: pool.floorSlots(),
        queued: pool.queuedCount(),
        ownerHostId: candidateHostsOf(service, options.self.region, hosts)[0]?.hostId,
        members: pool.members().map(member => createMemberStatus(pool, member)),
    };
};

/** Creates the status of one host. */
export const createEntryStatus = (options: EntryStatusOptions): EntryStatus => {
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
        pools: node.pools().all().map(pool => createPoolStatus(options, pool)),
        peers: records.filter(record => record.info.hostId !== self.hostId).map(record => ({
            hostId: record.info.hostId,
            alive: record.state <= HostState.Suspect,
            adminAddress: `${record.info.adminHost}:${record.info.adminPort}`,
            version: record.version,
        })),
        burn: options.burn,
    };
};
