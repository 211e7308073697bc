/** Finds a request's route: by host name, then by the longest path prefix. */
import type { Random } from "../random.js";
import type { Destination, GatewayRoute } from "./gateway-config.js";

/** The routes of one configuration, arranged for look-ups. */
export interface RouteIndex {
    /** `hostHeader` may carry a port; `target` is the path with its query. */
    find(hostHeader: string, target: string): GatewayRoute | undefined;
}

const nameOf = (hostHeader: string): string => {
    const colon = hostHeader.lastIndexOf(":");
    return (colon === -1 ? hostHeader : hostHeader.slice(0, colon)).toLowerCase();
};

const pathOf = (target: string): string => {
    const query = target.search(/[?#]/u);
    return query === -1 ? target : target.slice(0, query);
};

/** Arranges routes for look-ups whose time does not grow with the number of routes. */
export const createRouteIndex = (routes: readonly GatewayRoute[]): RouteIndex => {
    const byHost = new Map<string, Map<string, GatewayRoute>>();
    for (const route of routes) {
        const prefixes = byHost.get(route.hostName) ?? new Map<string, GatewayRoute>();
        prefixes.set(route.prefix, route);
        byHost.set(route.hostName, prefixes);
    }

    const find = (hostHeader: string, target: string): GatewayRoute | undefined => {
        const prefixes = byHost.get(nameOf(hostHeader));
        const path = pathOf(target);
        if (prefixes === undefined) {
            return undefined;
        }
        // Prefixes end with a slash, so only the path's own slashes can end one.
        for (let end = path.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
            const route = prefixes.get(path.slice(0, end + 1));
            if (route !== undefined) {
                return route;
            }
        }
        return undefined;
    };

    return { find };
};

/** Draws one of a route's destinations by weight. */
export const drawDestination = (destinations: readonly Destination[], random: Random): Destination | undefined => {
    const total = destinations.reduce((sum, destination) => sum + destination.weight, 0);
    let left = random.next() * total;
    return destinations.find(destination => {
        left -= destination.weight;
        return left < 0;
    });
};
