/** A published configuration as entry hosts use it, and the difference between two of them. */

/** Whether a route's requests may run more than once. */
export enum Repeatability {
    Repeatable = "repeatable",
    AtMostOnce = "at-most-once",
}

/** A service that takes a share of a route's requests. */
export interface Destination {
    service: string;
    /** Relative to the other destinations of the route. */
    weight: number;
}

/** Requests of one host name under one path prefix. */
export interface GatewayRoute {
    name: string;
    /** The host name that callers ask for, in lower case. */
    hostName: string;
    /** Begins and ends with a slash. */
    prefix: string;
    repeatability: Repeatability;
    /** The longest time that a caller is kept waiting, in milliseconds. */
    timeoutMs: number;
    /** The time within which an answer is of full use, in milliseconds. */
    latencyObjectiveMs: number;
    /** Rank of the route; 0 is the most urgent. */
    priority: number;
    /** The most backend servers that one request may run on. */
    maxServers: number;
    destinations: Destination[];
}

/** A service that routes may name. */
export interface GatewayService {
    name: string;
    /** The most connections that one of its servers accepts. */
    maxConnections: number;
}

/** Bounds on what callers send. */
export interface CallerLimits {
    maxHeaderBytes: number;
    maxBodyBytes: number;
    /** How long a caller may take to send a request's head, in milliseconds. */
    headerTimeoutMs: number;
    /** How long a connection may stay idle, in milliseconds. */
    idleTimeoutMs: number;
}

/** One published configuration. */
export interface GatewayConfig {
    /** The number that its operator chose; higher replaces lower. */
    number: number;
    routes: GatewayRoute[];
    services: GatewayService[];
    limits: CallerLimits;
}

/** What changes a configuration into a newer one. */
export interface ConfigDelta {
    baseNumber: number;
    number: number;
    changedRoutes: GatewayRoute[];
    removedRoutes: string[];
    services?: GatewayService[];
    limits?: CallerLimits;
}

const isEqual = (a: unknown, b: unknown): boolean => JSON.stringify(a) === JSON.stringify(b);

/** The difference between two configurations. */
export const diffConfig = (base: GatewayConfig, next: GatewayConfig): ConfigDelta => {
    const known = new Map(base.routes.map(route => [route.name, route]));
    const kept = new Set(next.routes.map(route => route.name));
    return {
        baseNumber: base.number,
        number: next.number,
        changedRoutes: next.routes.filter(route => !isEqual(known.get(route.name), route)),
        removedRoutes: base.routes.map(route => route.name).filter(name => !kept.has(name)),
        services: isEqual(base.services, next.services) ? undefined : next.services,
        limits: isEqual(base.limits, next.limits) ? undefined : next.limits,
    };
};

/** Applies a difference to its base; `undefined` when `base` is not the configuration that it starts from. */
export const applyDelta = (base: GatewayConfig | undefined, delta: ConfigDelta): GatewayConfig | undefined => {
    if (base?.number !== delta.baseNumber) {
        return undefined;
    }
    const routes = new Map(base.routes.map(route => [route.name, route]));
    for (const name of delta.removedRoutes) {
        routes.delete(name);
    }
    for (const route of delta.changedRoutes) {
        routes.set(route.name, route);
    }
    return {
        number: delta.number,
        routes: [...routes.values()],
        services: delta.services ?? base.services,
        limits: delta.limits ?? base.limits,
    };
};
