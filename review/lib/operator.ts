/** Stand-in of the operator: sends whole configurations until one is acknowledged. */
import { call } from "./call.js";
import type { Fleet } from "./fleet.js";
import { sleep } from "./time.js";

/** A route of a configuration; the host name is the same for all. */
export interface RouteRow {
    name: string;
    prefix: string;
    type: string;
    service: string;
    timeoutS: number;
}

export const hostName = "hulo84.example";

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
    "trafficSplit",
];
const serviceColumns = ["name", "healthPath", "maxConnections", "protocol", "tls"];

/** Returns a configuration as an operator sends it; `extra` holds further tables, such as `tenants`. */
export const configOf = (version: number, routes: readonly RouteRow[], extra: Readonly<Record<string, unknown>> = {}): string =>
    JSON.stringify({
        version: `r${version}`,
        routes: {
            columns: routeColumns,
            rows: routes.map((
                { name, prefix, type, service, timeoutS },
            ) => [name, hostName, prefix, type, timeoutS, 1, 1, service, 2, null]),
        },
        services: {
            columns: serviceColumns,
            rows: [...new Set(routes.map(({ service }) => service))].map(service => [service, "/healthz", 390, "h1", false]),
        },
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutS: 3, idleTimeoutS: 15 },
        ...extra,
    });

const callTimeoutMs = 1000;
const retryMs = 200;

/** Sends the configuration to one state host after the other until it is acknowledged; resolves with whether it was in time. */
export const publish = async (fleet: Fleet, document: string, timeoutMs: number): Promise<boolean> => {
    const until = performance.now() + timeoutMs;
    for (let index = 0; performance.now() < until; index += 1) {
        const { status } = await call({
            address: `${fleet.states[index % fleet.states.length]!.address}:${fleet.ports.control}`,
            path: "/cassiapick/Config.Put",
            method: "POST",
            headers: { "Content-Type": "application/json" },
            body: document,
            timeoutMs: callTimeoutMs,
        });
        if (status === 200) {
            return true;
        }
        await sleep(retryMs);
    }
    return false;
};
