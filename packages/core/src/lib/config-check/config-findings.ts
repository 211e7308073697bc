/** Finds entries of a configuration that can never match, and limits that contradict each other. */
import type { CallerLimits, GatewayConfig, GatewayRoute, Workspace } from "../gateway/gateway-config.js";

/** What is wrong with an entry. */
export enum FindingKind {
    /** The configuration can't be read, or a host would refuse it. */
    Error = "error",
    /** No request can match the entry, or it has no effect. */
    NeverMatches = "never-matches",
    /** Two limits, or a limit and what the hosts do, can't both hold. */
    Contradiction = "contradiction",
}

/** One finding. */
export interface Finding {
    kind: FindingKind;
    /** The entry, such as "route 'orders'". */
    entry: string;
    /** What is wrong and how to correct it. */
    message: string;
}

/** Request heads beyond this size are refused whatever the configuration allows, in bytes. */
export const maxParsedHeadBytes = 64 * 1024;

type Check<T> = (value: T) => string | undefined;

const checkAll = <T>(kind: FindingKind, entry: string, value: T, checks: readonly Check<T>[]): Finding[] =>
    checks.flatMap(check => {
        const message = check(value);
        return message === undefined ? [] : [{ kind, entry, message }];
    });

const routeMatchChecks: readonly Check<GatewayRoute>[] = [
    ({ prefix }) =>
        prefix.startsWith("/") && prefix.endsWith("/")
            ? undefined
            : `The prefix '${prefix}' matches no path. Let it begin and end with a slash.`,
    ({ prefix }) =>
        /[?#]/u.test(prefix) ? `The prefix '${prefix}' holds a query, which is not compared. Give a path only.` : undefined,
    ({ hostName }) =>
        /[^:]:\d*$/u.test(hostName)
            ? `The host name '${hostName}' holds a port, which is not compared. Give the name only.`
            : undefined,
    ({ destinations }) => {
        const unused = destinations.filter(({ weight }) => weight === 0).map(({ service }) => `'${service}'`);
        return unused.length === 0
            ? undefined
            : `The weight of ${unused.join(", ")} is 0, so nothing is sent there. Remove the entry.`;
    },
];

const routeLimitChecks: readonly Check<GatewayRoute>[] = [
    ({ latencyObjectiveMs, timeoutMs }) =>
        latencyObjectiveMs > timeoutMs
            ? `The latency objective of ${latencyObjectiveMs} ms is above the timeout of ${timeoutMs} ms, which ends requests first. `
                + "Lower the objective or raise the timeout."
            : undefined,
];

const limitChecks: readonly Check<CallerLimits>[] = [
    ({ maxHeaderBytes }) =>
        maxHeaderBytes > maxParsedHeadBytes
            ? `Heads of ${maxHeaderBytes} bytes are allowed, but hosts read ${maxParsedHeadBytes} at most. Lower the limit.`
            : undefined,
    ({ headerTimeoutMs, idleTimeoutMs }) =>
        headerTimeoutMs > idleTimeoutMs
            ? `A head may take ${headerTimeoutMs} ms, but a connection may be idle for ${idleTimeoutMs} ms only. Raise the idle timeout.`
            : undefined,
];

const workspaceChecks: readonly Check<Workspace>[] = [
    ({ ratePerS, burst }) =>
        ratePerS === undefined && burst > 0
            ? `A burst of ${burst} has no effect without a rate. Give a rate or remove it.`
            : undefined,
    ({ ratePerS, burst }) =>
        ratePerS !== undefined && ratePerS < 1 && burst < 1
            ? `A rate of ${ratePerS} a second and a burst of ${burst} allow no request within a second. Give a burst of 1 or more.`
            : undefined,
];

/** Finds routes that another one replaces, as both have the same host name and prefix. */
const findReplacedRoutes = (routes: readonly GatewayRoute[]): Finding[] => {
    const lastByMatch = new Map(routes.map(route => [`${route.hostName}\n${route.prefix}`, route]));
    return routes.flatMap(route => {
        const last = lastByMatch.get(`${route.hostName}\n${route.prefix}`)!;
        return last === route ? [] : [{
            kind: FindingKind.NeverMatches,
            entry: `route '${route.name}'`,
            message:
                `The route '${last.name}' has the same host name and prefix and comes later, so it gets all requests. Remove one.`,
        }];
    });
};

/** Finds entries whose name another one has too; hosts that receive differences tell entries apart by their names. */
const findEqualNames = (what: string, entries: readonly { name: string; }[]): Finding[] => {
    const counts = new Map<string, number>();
    entries.forEach(({ name }) => counts.set(name, (counts.get(name) ?? 0) + 1));
    return [...counts].filter(([, count]) => count > 1).map(([name, count]) => ({
        kind: FindingKind.Contradiction,
        entry: `${what} '${name}'`,
        message: `${count} entries have this name, and hosts may keep only one. Give each a name of its own.`,
    }));
};

const findUnusedServices = ({ routes, services }: GatewayConfig): Finding[] => {
    const used = new Set(routes.flatMap(({ destinations }) => destinations.map(({ service }) => service)));
    return services.filter(({ name }) => !used.has(name)).map(({ name }) => ({
        kind: FindingKind.NeverMatches,
        entry: `service '${name}'`,
        message: "No route leads to it. Add a route or remove it.",
    }));
};

const findServicesWithoutConnections = ({ services }: GatewayConfig): Finding[] =>
    services.filter(({ maxConnections }) => maxConnections < 1).map(({ name, maxConnections }) => ({
        kind: FindingKind.Contradiction,
        entry: `service '${name}'`,
        message: `Its servers accept ${maxConnections} connections, so it serves nothing. Allow 1 or more.`,
    }));

const findUnusableWorkspaces = ({ workspaces = [], routes }: GatewayConfig): Finding[] => {
    const isAllPublic = routes.length > 0 && routes.every(({ isPublic }) => isPublic === true);
    return workspaces.flatMap(({ name, keyDigests }) => {
        const entry = `workspace '${name}'`;
        if (keyDigests.length === 0) {
            return [{
                kind: FindingKind.NeverMatches,
                entry,
                message: "It has no key, so no caller can use it. Add a key or remove it.",
            }];
        }
        return isAllPublic
            ? [{
                kind: FindingKind.NeverMatches,
                entry,
                message: "All routes are public, so no key is asked for. Close a route or remove it.",
            }]
            : [];
    });
};

/** Returns what is wrong with a configuration that can be read; the order is that of its entries. */
export const findConfigProblems = (config: GatewayConfig): Finding[] => [
    ...config.routes.flatMap(route => [
        ...checkAll(FindingKind.NeverMatches, `route '${route.name}'`, route, routeMatchChecks),
        ...checkAll(FindingKind.Contradiction, `route '${route.name}'`, route, routeLimitChecks),
    ]),
    ...findEqualNames("route", config.routes),
    ...findEqualNames("service", config.services),
    ...findReplacedRoutes(config.routes),
    ...findUnusedServices(config),
    ...findServicesWithoutConnections(config),
    ...checkAll(FindingKind.Contradiction, "limits", config.limits, limitChecks),
    ...findUnusableWorkspaces(config),
    ...(config.workspaces ?? []).flatMap(workspace =>
        checkAll(FindingKind.Contradiction, `workspace '${workspace.name}'`, workspace, workspaceChecks)
    ),
];
