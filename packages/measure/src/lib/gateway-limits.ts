/** The limits that simulated servers name, as the simulated entry hosts know them. */
import { computeLimitShares, createServerLimits, HostPhase, HostRole } from "@cassiapick/core";
import type { FleetHost, FleetServer, ServerLimitGate } from "@cassiapick/core";
import type { SimulatedServer } from "./gateway-servers.js";

/** Creates the record of a ready entry host. */
export const entryHostRecord = (hostId: string, zone: string): FleetHost => ({
    hostId,
    role: HostRole.Entry,
    address: "",
    availabilityZone: zone,
    region: "",
    state: HostPhase.Ready,
    startedAt: 0,
    keeper: "",
    revision: 1,
});

/** Creates the limits of each host, in force from the start. */
export const createLimitGates = (
    hosts: readonly FleetHost[],
    servers: readonly SimulatedServer[],
    limitOf: (record: FleetServer) => number | undefined,
): Map<string, ServerLimitGate> => {
    const limitedServers = servers.map(({ record }) => ({ ...record, limitPerS: limitOf(record) }))
        .filter(({ limitPerS }) => limitPerS !== undefined);
    const shares = computeLimitShares({ hosts: () => hosts, limitedServers: () => limitedServers });
    return new Map(hosts.map(({ hostId }) => {
        const limits = createServerLimits();
        limits.setShares([], 0, 0);
        limits.setShares(shares.of(hostId), 0, 0);
        return [hostId, { ...limits, maySend: (number, now) => limits.maySend(number, 0, now) }];
    }));
};
