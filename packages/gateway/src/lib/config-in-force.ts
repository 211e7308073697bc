/** The configuration in force on an entry host: finds the routes of requests and the workspaces that they count for. */
import { Access, createRouteIndex, createWorkspaceIndex, decideAccess, DenialReason, isHigherNumber } from "@cassiapick/core";
import type { ConfigNumber, GatewayConfig, GatewayRoute, RouteIndex, Workspace, WorkspaceIndex } from "@cassiapick/core";

/** What routing needs to know of a request. */
export interface RoutingQuery {
    /** The Host header. */
    hostHeader: string;
    /** Path with query. */
    target: string;
    /** Digest of the caller's key; `undefined` without a key. */
    keyDigest: string | undefined;
    /** When the head of the request was read, in milliseconds of the host's clock. */
    arrivedAt: number;
}

/** Result of routing a request. */
export type RoutingResult =
    /** `workspace` is set if the caller presented one of its keys. */
    | { kind: "routed"; route: GatewayRoute; configNumber: ConfigNumber; workspace?: Workspace; }
    /** No route matches in a configuration that is known to be the newest. */
    | { kind: "unrouted"; configNumber: ConfigNumber; }
    /** The route needs a key that the configuration, which is known to be recent, does not have. */
    | { kind: "unauthorized"; route: GatewayRoute; configNumber: ConfigNumber; reason: DenialReason; }
    /** The newest configuration is unknown; it may arrive within `waitMs`. */
    | { kind: "unsure"; reason: string; retryAfterMs: number; waitMs: number; };

/** Why a request that was routed may not be sent any more: its key is withdrawn, or the host can't tell. */
export type AccessLoss = Extract<RoutingResult, { kind: "unauthorized" | "unsure"; }>;

/** Options of {@link createConfigInForce}. */
export interface ConfigInForceOptions {
    /** Time within which a published change is in force, in milliseconds; an older view can't prove that something is missing. */
    applyWithinMs: number;
    /** Time within which a withdrawn key must stop, in milliseconds. */
    revokeWithinMs: number;
    /** Whether the host refuses requests under keys while its view is older than `revokeWithinMs`. */
    refusesOldViews: boolean;
    /** Age of the host's view of the fleet, in milliseconds. */
    viewAgeMs: () => number;
    clock: () => number;
}

/** The configuration in force. */
export interface ConfigInForce {
    /** `undefined` before the first one. */
    current(): GatewayConfig | undefined;
    /** Puts a configuration in force unless one with the same or a higher number is; returns whether it did. */
    apply(config: GatewayConfig): boolean;
    route(query: RoutingQuery): RoutingResult;
    /** Routes again until the result is sure, `waitMs` at most. */
    waitForRoute(query: RoutingQuery, waitMs: number): Promise<RoutingResult>;
    /** Checks whether a request still counts for `workspaceName` under the configuration that is in force now. */
    accessLoss(query: RoutingQuery, routed: GatewayRoute, workspaceName: string | undefined): AccessLoss | undefined;
    /** Whether a majority has confirmed the view of this host, or no request needs a key. */
    mayServeKeys(): boolean;
    /** To be called every {@link tickMs}, so that a pause of the process is noticed. */
    tick(): void;
}

/** Interval of {@link ConfigInForce.tick}, in milliseconds. */
export const tickMs = 400;
/** `Retry-After` while the newest configuration is unknown, in milliseconds. */
export const unknownConfigRetryMs = 400;
/** Requests wait for the first configuration until this long after the start, in milliseconds. */
const firstConfigTimeoutMs = 1500;
/** A view is confirmed every 0.4 s, on a majority's answer; a request with an unknown key waits for two such reports. */
const unknownKeyWaitMs = 1000;
/** A process without a turn for this long was paused, in milliseconds. */
const pauseMs = 1500;
/** Time for a host that was paused to be sent what it has missed, in milliseconds. */
const catchUpMs = 2000;
const pollMs = 25;
/** Most requests that wait at the same time, so that unknown keys can't fill the memory. */
const maxWaiting = 500;

interface Waiter {
    query: RoutingQuery;
    until: number;
    resolve: (result: RoutingResult) => void;
}

/** Creates the holder of the configuration; it has none at first. */
export const createConfigInForce = (options: ConfigInForceOptions): ConfigInForce => {
    const { clock } = options;
    const startedAt = clock();
    const waiters = new Set<Waiter>();
    let config: GatewayConfig | undefined;
    let routes: RouteIndex = createRouteIndex([]);
    let workspaces: WorkspaceIndex | undefined;
    let pollTimer: NodeJS.Timeout | undefined;
    let lastTurnAt = startedAt;
    let resumedAt = -Infinity;

    const tick = (): void => {
        const now = clock();
        // Requests that arrived during a pause are read before the messages of the state host, so they are checked here too.
        if (now - lastTurnAt > pauseMs) {
            resumedAt = now;
        }
        lastTurnAt = now;
    };

    const remainingMs = (until: number): number => Math.max(0, until - clock());

    const unsure = (reason: string, waitMs: number): Extract<RoutingResult, { kind: "unsure"; }> => ({
        kind: "unsure",
        reason,
        retryAfterMs: unknownConfigRetryMs,
        waitMs,
    });

    const decide = (query: RoutingQuery, route: GatewayRoute, configNumber: ConfigNumber, mayWait: boolean): RoutingResult => {
        const ageMs = options.viewAgeMs();
        const isCatchingUp = clock() - resumedAt < catchUpMs && ageMs > options.applyWithinMs;
        const decision = decideAccess(
            { workspaces, isPublicRoute: route.isPublic === true, keyDigest: query.keyDigest },
            { ageMs, requestAgeMs: clock() - query.arrivedAt, mayWait, isCatchingUp },
            options,
        );
        switch (decision.access) {
            case Access.Granted:
                return { kind: "routed", route, configNumber, workspace: decision.workspace };
            case Access.Denied:
                return { kind: "unauthorized", route, configNumber, reason: decision.reason };
            case Access.Unsure: {
                const untilUnknownKey = ageMs <= options.applyWithinMs ? query.arrivedAt + unknownKeyWaitMs : -Infinity;
                const untilFirstView = Number.isFinite(ageMs) ? -Infinity : startedAt + firstConfigTimeoutMs;
                const until = Math.max(untilUnknownKey, untilFirstView, resumedAt + catchUpMs);
                return unsure(
                    decision.reason === DenialReason.OldView
                        ? "no majority of the state hosts has confirmed lately which keys are in force"
                        : "a newer configuration may have the key of the request",
                    remainingMs(until),
                );
            }
        }
    };

    const find = (query: RoutingQuery, mayWait: boolean): RoutingResult => {
        tick();
        if (config === undefined) {
            // State hosts that were killed together with this host serve again within a second.
            return unsure("the newest configuration is not known", remainingMs(startedAt + firstConfigTimeoutMs));
        }
        const route = routes.find(query.hostHeader, query.target);
        if (route !== undefined) {
            return decide(query, route, config.number, mayWait);
        }
        return options.viewAgeMs() <= options.applyWithinMs
            ? { kind: "unrouted", configNumber: config.number }
            : unsure("the newest configuration is not known", 0);
    };

    const resolveWaiters = (): void => {
        for (const waiter of [...waiters]) {
            const isOver = clock() >= waiter.until;
            const result = find(waiter.query, !isOver);
            if (isOver || result.kind !== "unsure") {
                waiters.delete(waiter);
                waiter.resolve(result);
            }
        }
        if (waiters.size === 0) {
            clearInterval(pollTimer);
            pollTimer = undefined;
        }
    };

    return {
        current: () => config,
        apply: next => {
            if (config !== undefined && !isHigherNumber(next.number, config.number)) {
                return false;
            }
            config = next;
            routes = createRouteIndex(next.routes);
            workspaces = next.workspaces === undefined ? undefined : createWorkspaceIndex(next.workspaces);
            resolveWaiters();
            return true;
        },
        route: query => find(query, true),
        waitForRoute: (query, waitMs) => {
            if (waitMs <= 0 || waiters.size >= maxWaiting) {
                return Promise.resolve(find(query, false));
            }
            return new Promise(resolve => {
                waiters.add({ query, until: clock() + waitMs, resolve });
                pollTimer ??= setInterval(resolveWaiters, pollMs);
            });
        },
        accessLoss: (query, routed, workspaceName) => {
            if (config === undefined) {
                return undefined;
            }
            const route = routes.find(query.hostHeader, query.target) ?? routed;
            const result = decide(query, route, config.number, false);
            if (result.kind === "unauthorized" || result.kind === "unsure") {
                return result;
            }
            const hasMoved = result.kind === "routed" && result.workspace?.name !== workspaceName;
            return hasMoved ? unsure("the key of the request has moved to another workspace", 0) : undefined;
        },
        mayServeKeys: () => workspaces === undefined || Number.isFinite(options.viewAgeMs()),
        tick,
    };
};
