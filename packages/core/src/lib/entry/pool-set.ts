/** Manages the controllers of the pools whose members this host knows. */
import type { Announcement } from "../backend-server.js";
import type { Random } from "../random.js";
import type { Pool } from "../tables.js";
import { createPoolController } from "./pool-controller.js";
import type { PoolController, PoolResult } from "./pool-controller.js";

/** A pool and the result of an event on it. */
export interface PoolChange {
    pool: PoolController;
    result: PoolResult;
}

/** Options of {@link createPoolSet}. */
export interface PoolSetCfg {
    region: string;
    availabilityZone: string;
    random: Random;
    /** Returns the members of a service in this region. */
    members(service: string): Announcement[];
}

/** The pool controllers of one host, by service. `now` is in milliseconds. */
export interface PoolSet {
    find(service: string): PoolController | undefined;
    /** Applies the pools table; removed pools are kept until their attempts have ended. */
    configure(pools: Pool[], now: number): PoolChange[];
    /** Updates the members of the services. */
    refresh(services: Iterable<string>, now: number): PoolChange[];
    tick(now: number): PoolChange[];
    all(): PoolController[];
}

/** Creates an empty set. */
export const createPoolSet = (cfg: PoolSetCfg): PoolSet => {
    const { region, availabilityZone, random } = cfg;
    const poolsByService = new Map<string, Pool>();
    const controllers = new Map<string, PoolController>();

    /** Creates no controller for a pool without local members: of thousands of services a host serves only a few. */
    const controllerOf = (service: string, hasMembers: boolean): PoolController | undefined => {
        const existing = controllers.get(service);
        const pool = poolsByService.get(service);
        if (existing !== undefined || pool === undefined || !hasMembers) {
            return existing;
        }
        const created = createPoolController({ pool, region, availabilityZone, random });
        controllers.set(service, created);
        return created;
    };

    const refreshService = (service: string, now: number): PoolChange[] => {
        const members = cfg.members(service);
        const pool = controllerOf(service, members.length > 0);
        return pool === undefined ? [] : [{ pool, result: pool.setMembers(members, now) }];
    };

    const configure = (pools: Pool[], now: number): PoolChange[] => {
        poolsByService.clear();
        for (const pool of pools) {
            poolsByService.set(pool.service, pool);
            controllers.get(pool.service)?.setPool(pool, now);
        }
        return pools.flatMap(pool => refreshService(pool.service, now));
    };

    /** Removes the pools that have neither members nor requests. */
    const removeIdle = (): void => {
        for (const [service, controller] of controllers) {
            if (controller.isIdle()) {
                controllers.delete(service);
            }
        }
    };

    const tick = (now: number): PoolChange[] => {
        removeIdle();
        return [...controllers.values()].map(pool => ({ pool, result: pool.tick(now) }));
    };

    return {
        find: service => controllers.get(service),
        configure,
        refresh: (services, now) => [...services].flatMap(service => refreshService(service, now)),
        tick,
        all: () => [...controllers.values()],
    };
};
