/** Finds a request's route by host name, then by the longest path prefix. */
import type { Random } from "../random.js";
import type { Destination, GatewayRoute } from "./gateway-config.js";

/** The routes of one configuration, indexed by host name and prefix. */
export interface RouteIndex {
    /** Returns the route of a request. `hostHeader` may contain a port; `target` is the path with its query. */
    find(hostHeader: string, target: string): GatewayRoute | undefined;
}

const hostNameOf = (hostHeader: string): string => {
    const colon = hostHeader.lastIndexOf(":");
    return (colon === -1 ? hostHeader : hostHeader.slice(0, colon)).toLowerCase();
};

const pathOf = (target: string): string => {
    const query = target.search(/[?#]/u);
    return query === -1 ? target : target.slice(0, query);
};

/** Indexes routes, so that the time of a look-up does not grow with their number. */
export const createRouteIndex = (routes: readonly GatewayRoute[]): RouteIndex => {
    const prefixesByHost = new Map<string, Map<string, GatewayRoute>>();
    for (const route of routes) {
        const prefixes = prefixesByHost.get(route.hostName) ?? new Map<string, GatewayRoute>();
        prefixes.set(route.prefix, route);
        prefixesByHost.set(route.hostName, prefixes);
    }

    const find = (hostHeader: string, target: string): GatewayRoute | undefined => {
        const prefixes = prefixesByHost.get(hostNameOf(hostHeader));
        const path = pathOf(target);
        if (prefixes === undefined) {
            return undefined;
        }
        // Prefixes end with a slash, so they can end only at a slash of the path.
        for (
            let prefixEnd = path.lastIndexOf("/");
            prefixEnd >= 0;
            prefixEnd = prefixEnd === 0 ? -1 : path.lastIndexOf("/", prefixEnd - 1)
        ) {
            const route = prefixes.get(path.slice(0, prefixEnd + 1));
            if (route !== undefined) {
                return route;
            }
        }
        return undefined;
    };

    return { find };
};

/** Picks one of a route's destinations at random, by weight; `undefined` if all weights are 0. */
export const pickDestination = (destinations: readonly Destination[], random: Random): Destination | undefined => {
    const total = destinations.reduce((sum, destination) => sum + destination.weight, 0);
    let remaining = random.next() * total;
    return destinations.find(destination => {
        remaining -= destination.weight;
        return remaining < 0;
    });
};
