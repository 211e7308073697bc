/** Configurations as the operator sends them. */

export interface RouteRow {
    name: string;
    hostname: string;
    pathPrefix: string;
    routeType: "safe" | "unsafe" | "download";
    timeoutS: number;
    targetLatencyS: number;
    backend: string;
    maxAttempts: number;
}

const routeColumns = [
    "name",
    "hostname",
    "pathPrefix",
    "routeType",
    "timeoutS",
    "targetLatencyS",
    "priority",
    "backend",
    "maxAttempts",
];

/** Returns a complete configuration. */
export const configOf = (version: number, routes: readonly RouteRow[], services: readonly string[]): unknown => ({
    version: `r${version}`,
    routes: {
        columns: routeColumns,
        rows: routes.map(route => [
            route.name,
            route.hostname,
            route.pathPrefix,
            route.routeType,
            route.timeoutS,
            route.targetLatencyS,
            1,
            route.backend,
            route.maxAttempts,
        ]),
    },
    services: {
        columns: ["name", "healthPath", "maxConnections", "protocol", "tls"],
        rows: services.map(name => [name, "/healthz", 330, "h1", false]),
    },
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutS: 3, idleTimeoutS: 15 },
});
