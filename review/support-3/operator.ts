/** The operator of a small deployment. */
import { ports, sleep } from "./fleet.js";
import type { Fleet } from "./fleet.js";
import { call } from "./http-call.js";

/** A route of a configuration, in the order of its columns. */
export type RouteRow = readonly [
    name: string,
    hostname: string,
    pathPrefix: string,
    routeType: "safe" | "unsafe",
    timeoutS: number,
    targetLatencyS: number,
    priority: number,
    backend: string,
    maxAttempts: number,
    trafficSplit: null,
];

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

/** Writes a configuration document. */
export const documentOf = (version: number, routes: readonly RouteRow[], services: readonly string[]): string =>
    JSON.stringify({
        version: `r${version}`,
        routes: { columns: routeColumns, rows: routes },
        services: {
            columns: ["name", "healthPath", "maxConnections", "protocol", "tls"],
            rows: services.map(name => [name, "/healthz", 390, "h1", false]),
        },
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutS: 3, idleTimeoutS: 15 },
    });

/** The answer to a change, or why there is none. */
export interface PutResult {
    isAcknowledged: boolean;
    tries: number;
    /** Status, or error, of the last try. */
    last: string;
}

/** The pause before the next host is tried grows up to this, in milliseconds. */
const maxPauseMs = 1000;
const firstPauseMs = 100;

/** Sends a change to one state host after the other until one acknowledges it, `tries` times at most. */
export const putConfiguration = async (
    { states }: Fleet,
    document: string,
    { tries, timeoutMs }: { tries: number; timeoutMs: number; },
): Promise<PutResult> => {
    let last = "";
    for (let tried = 1; tried <= tries; tried += 1) {
        const host = states[(tried - 1) % states.length]!;
        const result = await call(host.address, ports.control, "/cassiapick/Config.Put", {
            method: "POST",
            headers: { "Content-Type": "application/json" },
            body: document,
            timeoutMs,
        });
        last = result.error ?? String(result.status);
        if (result.isComplete && result.status === 200) {
            return { isAcknowledged: true, tries: tried, last };
        }
        await sleep(Math.min(maxPauseMs, firstPauseMs * 2 ** (tried - 1)));
    }
    return { isAcknowledged: false, tries, last };
};

/** The version that each state host returns, or its status or error. */
export const readVersions = ({ states }: Fleet, timeoutMs: number): Promise<string[]> =>
    Promise.all(states.map(async ({ address }) => {
        const result = await call(address, ports.control, "/cassiapick/Config.Get", { timeoutMs });
        if (result.status !== 200 || !result.isComplete) {
            return result.error ?? String(result.status);
        }
        return (JSON.parse(result.body.toString()) as { version: string; }).version;
    }));
