/** Published configurations as entry hosts use them, and differences between two configurations. */

import { applyWorkspaceDelta, diffWorkspaces } from "../workspace/workspace-delta.js";
import type { WorkspaceDelta } from "../workspace/workspace-delta.js";
import type { ConfigNumber } from "./config-number.js";

/** Whether a route's requests may run on backend servers more than once. */
export enum Repeatability {
    Repeatable = "repeatable",
    AtMostOnce = "at-most-once",
}

/** A service that receives a weighted share of a route's requests. */
export interface Destination {
    service: string;
    /** Relative to the other destinations of the route. */
    weight: number;
}

/** Requests of one host name under one path prefix. */
export interface GatewayRoute {
    name: string;
    /** The host name in callers' requests, in lower case. */
    hostName: string;
    /** Path prefix; begins and ends with a slash. */
    prefix: string;
    repeatability: Repeatability;
    /** Longest time until a caller receives a response, in milliseconds. */
    timeoutMs: number;
    /** Latency objective, in milliseconds; a later answer is worth less to the caller. */
    latencyObjectiveMs: number;
    /** Priority of the route; 0 is the most urgent. */
    priority: number;
    /** Whether callers need no key. */
    isPublic?: boolean;
    /** Whether answers are large, so that they are scheduled by their bytes. */
    hasLargeAnswers?: boolean;
    /** Most backend servers that one request may run on. */
    maxServers: number;
    destinations: Destination[];
}

/** A service that routes may use as a destination. */
export interface GatewayService {
    name: string;
    /** Most connections that each of its servers accepts. */
    maxConnections: number;
}

/** A customer of the operator, whose callers present one of its keys. */
export interface Workspace {
    name: string;
    /** Digests of the keys; a key itself is not kept. */
    keyDigests: string[];
    /** Priority of the workspace's requests, which goes before that of their routes; 0 is the most urgent. */
    priority?: number;
    /** Requests a second that all hosts together take from the workspace; `undefined` without a quota. */
    ratePerS?: number;
    /** Requests beyond the rate that the workspace may send at once. */
    burst: number;
}

/** Limits on requests and connections of callers. */
export interface CallerLimits {
    maxHeaderBytes: number;
    maxBodyBytes: number;
    /** Longest time that a caller may take to send a request's head, in milliseconds. */
    headerTimeoutMs: number;
    /** Longest time that a connection may stay idle, in milliseconds. */
    idleTimeoutMs: number;
}

/** One published configuration. */
export interface GatewayConfig {
    /** Chosen by the operator; a configuration replaces those with lower numbers. */
    number: ConfigNumber;
    routes: GatewayRoute[];
    services: GatewayService[];
    limits: CallerLimits;
    /** Absent if callers need no keys. */
    workspaces?: Workspace[];
}

/** The changes that turn a configuration into a newer one. */
export interface ConfigDelta extends WorkspaceDelta {
    baseNumber: ConfigNumber;
    number: ConfigNumber;
    changedRoutes: GatewayRoute[];
    /** Names of routes that are gone, for entry hosts of earlier versions. */
    removedRoutes: string[];
    /** Places of routes that are gone; absent in differences from state hosts of earlier versions, which go by the names of routes. */
    removedPlaces?: string[];
    services?: GatewayService[];
    limits?: CallerLimits;
}

const isEqual = (a: unknown, b: unknown): boolean => JSON.stringify(a) === JSON.stringify(b);

const areSameDestinations = (a: readonly Destination[], b: readonly Destination[]): boolean =>
    a.length === b.length
    && a.every(({ service, weight }, place) => service === b[place]!.service && weight === b[place]!.weight);

/** Compares field by field, as a change of a long configuration compares all of its routes. */
const isSameRoute = (a: GatewayRoute, b: GatewayRoute | undefined): boolean => {
    if (b === undefined) {
        return false;
    }
    const names = Object.keys(a) as (keyof GatewayRoute)[];
    return names.length === Object.keys(b).length
        && names.every(name =>
            name === "destinations" ? areSameDestinations(a.destinations, b.destinations) : a[name] === b[name]
        );
};

/** Where a route applies; several routes may have one name, but only the last one of a place is in force. */
const placeOf = ({ hostName, prefix }: GatewayRoute): string => `${hostName} ${prefix}`;

const routesByPlace = (routes: readonly GatewayRoute[]): Map<string, GatewayRoute> =>
    new Map(routes.map(route => [placeOf(route), route]));

/** Computes the changes from `base` to `next`. */
export const diffConfig = (base: GatewayConfig, next: GatewayConfig): ConfigDelta => {
    const baseByName = new Map(base.routes.map(route => [route.name, route]));
    const baseByPlace = routesByPlace(base.routes);
    const nextNames = new Set(next.routes.map(route => route.name));
    const nextByPlace = routesByPlace(next.routes);
    return {
        baseNumber: base.number,
        number: next.number,
        changedRoutes: [...nextByPlace].filter(([place, route]) =>
            !isSameRoute(route, baseByPlace.get(place)) || !isSameRoute(route, baseByName.get(route.name))
        ).map(([, route]) => route),
        removedRoutes: base.routes.map(route => route.name).filter(name => !nextNames.has(name)),
        removedPlaces: [...baseByPlace.keys()].filter(place => !nextByPlace.has(place)),
        services: isEqual(base.services, next.services) ? undefined : next.services,
        limits: isEqual(base.limits, next.limits) ? undefined : next.limits,
        ...diffWorkspaces(base.workspaces, next.workspaces),
    };
};

/** Applies changes to a configuration; returns `undefined` when they were not computed from `base`. */
export const applyDelta = (base: GatewayConfig | undefined, delta: ConfigDelta): GatewayConfig | undefined => {
    if (base?.number !== delta.baseNumber) {
        return undefined;
    }
    const keyOf = delta.removedPlaces === undefined ? ({ name }: GatewayRoute): string => name : placeOf;
    const routes = new Map(base.routes.map(route => [keyOf(route), route]));
    for (const key of delta.removedPlaces ?? delta.removedRoutes) {
        routes.delete(key);
    }
    for (const route of delta.changedRoutes) {
        routes.set(keyOf(route), route);
    }
    const workspaces = applyWorkspaceDelta(base.workspaces, delta);
    return {
        number: delta.number,
        routes: [...routes.values()],
        services: delta.services ?? base.services,
        limits: delta.limits ?? base.limits,
        ...(workspaces === undefined ? {} : { workspaces }),
    };
};
