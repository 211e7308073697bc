/** The pools whose members this host knows. */
import type { Announcement } from "../backend-server.js";
import type { Pool } from "../tables.js";
import { createPoolNode } from "./pool-node.js";
import type { PoolNode, PoolResult } from "./pool-node.js";

/** A pool and what an event made of it. */
export interface PoolChange {
    pool: PoolNode;
    result: PoolResult;
}

/** Options of {@link createPoolSet}. */
export interface PoolSetCfg {
    region: string;
    availabilityZone: string;
    /** The members of a service in this region. */
    members(service: string): Announcement[];
}

/** The pools of one host, by service. */
export interface PoolSet {
    find(service: string): PoolNode | undefined;
    /** The pool that has, or had, the backend server. */
    holding(serverId: string): PoolNode | undefined;
    /** Takes the pools table; pools that are gone are kept until their attempts have ended. */
    configure(pools: Pool[], now: number): PoolChange[];
    /** Takes the present members of the services. */
    refresh(services: Iterable<string>, now: number): PoolChange[];
    tick(now: number): PoolChange[];
    all(): PoolNode[];
}

/** Creates an empty set. */
export const createPoolSet = (cfg: PoolSetCfg): PoolSet => {
    const nodes = new Map<string, PoolNode>();

    const configureOne = (pool: Pool, now: number): PoolChange => {
        const node = nodes.get(pool.service)
            ?? createPoolNode({ pool, region: cfg.region, availabilityZone: cfg.availabilityZone });
        nodes.set(pool.service, node);
        node.setPool(pool, now);
        return { pool: node, result: node.setMembers(cfg.members(pool.service), now) };
    };

    const configure = (pools: Pool[], now: number): PoolChange[] => pools.map(pool => configureOne(pool, now));

    const refresh = (services: Iterable<string>, now: number): PoolChange[] => {
        const changes: PoolChange[] = [];
        for (const service of services) {
            const pool = nodes.get(service);
            if (pool !== undefined) {
                changes.push({ pool, result: pool.setMembers(cfg.members(service), now) });
            }
        }
        return changes;
    };

    return {
        find: service => nodes.get(service),
        holding: serverId => [...nodes.values()].find(node => node.inFlight(serverId) > 0),
        configure,
        refresh,
        tick: now => [...nodes.values()].map(pool => ({ pool, result: pool.tick(now) })),
        all: () => [...nodes.values()],
    };
};
