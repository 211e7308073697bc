/** The pools whose members this host knows. */
import type { Announcement } from "../backend-server.js";
import type { Random } from "../random.js";
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
    random: Random;
    /** The members of a service in this region. */
    members(service: string): Announcement[];
}

/** The pools of one host, by service. */
export interface PoolSet {
    find(service: string): PoolNode | undefined;
    /** Takes the pools table; pools that are gone are kept until their attempts have ended. */
    configure(pools: Pool[], now: number): PoolChange[];
    /** Takes the present members of the services. */
    refresh(services: Iterable<string>, now: number): PoolChange[];
    tick(now: number): PoolChange[];
    all(): PoolNode[];
}

/** Creates an empty set. */
export const createPoolSet = (cfg: PoolSetCfg): PoolSet => {
    const { region, availabilityZone, random } = cfg;
    const table = new Map<string, Pool>();
    const nodes = new Map<string, PoolNode>();

    /** A pool without members here gets no node: of thousands of services a host holds only a few. */
    const nodeOf = (service: string, hasMembers: boolean): PoolNode | undefined => {
        const known = nodes.get(service);
        const pool = table.get(service);
        if (known !== undefined || pool === undefined || !hasMembers) {
            return known;
        }
        const created = createPoolNode({ pool, region, availabilityZone, random });
        nodes.set(service, created);
        return created;
    };

    const refreshOne = (service: string, now: number): PoolChange[] => {
        const members = cfg.members(service);
        const pool = nodeOf(service, members.length > 0);
        return pool === undefined ? [] : [{ pool, result: pool.setMembers(members, now) }];
    };

    const configure = (pools: Pool[], now: number): PoolChange[] => {
        table.clear();
        for (const pool of pools) {
            table.set(pool.service, pool);
            nodes.get(pool.service)?.setPool(pool, now);
        }
        return pools.flatMap(pool => refreshOne(pool.service, now));
    };

    /** Forgets the pools that their members and their requests have left. */
    const forgetIdle = (): void => {
        for (const [service, node] of nodes) {
            if (node.isIdle()) {
                nodes.delete(service);
            }
        }
    };

    const tick = (now: number): PoolChange[] => {
        forgetIdle();
        return [...nodes.values()].map(pool => ({ pool, result: pool.tick(now) }));
    };

    return {
        find: service => nodes.get(service),
        configure,
        refresh: (services, now) => [...services].flatMap(service => refreshOne(service, now)),
        tick,
        all: () => [...nodes.values()],
    };
};
