/** Indexes the routes and pools tables for lookup. */
import { RefusalKind } from "../outcome.js";
import type { Pool, Route, Tables } from "../tables.js";

/** The route and pool of a request's brand and kind, or why there are none. */
export type RouteMatch =
    | { ok: true; route: Route; pool: Pool; }
    | { ok: false; reason: RefusalKind.UnknownBrand | RefusalKind.UnknownKind | RefusalKind.NoTables; message: string; };

/** Lookup of routes and pools. */
export interface RouteTable {
    match(brand: string, kind: string): RouteMatch;
    /** Returns the pool whose members announce `service`. */
    poolOf(service: string): Pool | undefined;
    pools(): Pool[];
}

const safeMethods = new Set(["GET", "HEAD", "OPTIONS"]);

/** Returns whether a request may run more than once: as its route says, otherwise by its method. */
export const isIdempotent = (route: Route, method: string): boolean => route.idempotent ?? safeMethods.has(method);

/** Indexes tables for lookup; `undefined` when none have been received yet. */
export const createRouteTable = (tables: Tables | undefined): RouteTable => {
    const byBrand = new Map<string, Map<string, Route>>();
    const byDestination = new Map<string, Pool>();
    const byService = new Map<string, Pool>();
    for (const route of tables?.routes ?? []) {
        const kinds = byBrand.get(route.brand) ?? new Map<string, Route>();
        kinds.set(route.kind, route);
        byBrand.set(route.brand, kinds);
    }
    for (const pool of tables?.pools ?? []) {
        byDestination.set(pool.destination, pool);
        byService.set(pool.service, pool);
    }

    const match = (brand: string, kind: string): RouteMatch => {
        if (tables === undefined) {
            return {
                ok: false,
                reason: RefusalKind.NoTables,
                message: "No tables are in force on this host yet. Retry, or apply tables.",
            };
        }
        const kinds = byBrand.get(brand);
        if (kinds === undefined) {
            return {
                ok: false,
                reason: RefusalKind.UnknownBrand,
                message:
                    `No route names the brand '${brand}'. Send a known brand in the Cassiapick-Brand header, or add a route.`,
            };
        }
        const route = kinds.get(kind);
        const pool = route === undefined ? undefined : byDestination.get(route.destination);
        if (route === undefined || pool === undefined) {
            const known = [...kinds.keys()].join(", ");
            return {
                ok: false,
                reason: RefusalKind.UnknownKind,
                message: `No route of the brand '${brand}' names the kind '${kind}'. Its kinds are: ${known}.`,
            };
        }
        return { ok: true, route, pool };
    };

    return { match, poolOf: service => byService.get(service), pools: () => [...byService.values()] };
};
