/** Runs one scripted scenario under load and counts the outcomes that callers received. */
import { startCallerStandIn } from "@cassiapick/standins";
import type { CallerStandIn } from "@cassiapick/standins";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { startDemoFleet } from "./demo-fleet.js";
import type { DemoFleet, DemoServer } from "./demo-fleet.js";
import { demoKinds, Deployment } from "./fleet-plan.js";
import type { DemoKind } from "./fleet-plan.js";

/** Request outcomes summed over all callers. */
interface RequestTotals {
    requests: number;
    wholeAnswers: number;
    /** Requests with an idempotency key that ran more than once. */
    doubled: number;
    /** Requests with a truncated answer, without an answer, or confirmed but never run. */
    cut: number;
    problems: string[];
}

const loadMs = 1500;
const readyTimeoutMs = 30_000;
const pollIntervalMs = 100;
const newBrand = "sainte-nouvelle";

const fallbackBrandOf = (deployment: Deployment): string => deployment === Deployment.Ticketing ? "saint-jerome" : "ba-sugar";

const callerAddresses = (fleet: DemoFleet): string[] =>
    fleet.entryHosts.map(({ self }) => `${self.callerHost}:${self.callerPort}`);

/** First brand in the deployment's routes; read from the tables so that the demo follows changes of the examples. */
const firstBrandOf = (fleet: DemoFleet, deployment: Deployment): string => {
    const kinds = new Set(demoKinds.filter(kind => kind.deployment === deployment).map(kind => kind.kind));
    return fleet.tables.routes.find(route => kinds.has(route.kind))?.brand ?? fallbackBrandOf(deployment);
};

const isAnswered = async (address: string, brand: string, kind: DemoKind): Promise<boolean> => {
    const key = kind.keyed ? { "idempotency-key": crypto.randomUUID() } : {};
    try {
        const res = await request(`http://${address}/${kind.kind}/ready`, {
            method: kind.method,
            headers: { "cassiapick-brand": brand, "x-mark": "ready", ...key },
        });
        await res.body.dump();
        return res.statusCode === 200;
    }
    catch {
        return false;
    }
};

const waitFor = async (description: string, isReady: () => Promise<boolean>): Promise<void> => {
    const deadlineAt = Date.now() + readyTimeoutMs;
    while (!await isReady()) {
        if (Date.now() > deadlineAt) {
            throw new Error(`The demo timed out after ${readyTimeoutMs} ms waiting for: ${description}.`);
        }
        await sleep(pollIntervalMs);
    }
};

/** Waits until each entry host serves requests of every kind. */
export const waitUntilReady = async (fleet: DemoFleet): Promise<void> => {
    for (const address of callerAddresses(fleet)) {
        for (const kind of demoKinds) {
            await waitFor(`${kind.kind} at ${address}`, () => isAnswered(address, firstBrandOf(fleet, kind.deployment), kind));
        }
    }
};

const startCallers = (fleet: DemoFleet): CallerStandIn[] => {
    const kinds = demoKinds.map(kind => ({
        brand: firstBrandOf(fleet, kind.deployment),
        kind: kind.kind,
        method: kind.method,
        keyed: kind.keyed,
    }));
    const addresses = callerAddresses(fleet);
    return addresses.map((_, index) =>
        startCallerStandIn({
            entryHosts: [...addresses.slice(index), ...addresses.slice(0, index)],
            kinds,
            concurrency: 4,
            idleMs: 5,
            markPrefix: `caller-${index + 1}`,
            deadlineMs: 5000,
        })
    );
};

const addRoute = async (fleet: DemoFleet): Promise<void> => {
    const route = fleet.tables.routes.find(candidate => candidate.kind === "seat-maps")!;
    const routes = [...fleet.tables.routes, { ...route, brand: newBrand }];
    fleet.writeTables({ ...fleet.tables, routes });
    const applied = await fleet.runOperatorCommand(["tables", "apply", fleet.routesFile, fleet.poolsFile]);
    if (applied.code !== 0) {
        throw new Error(`The edited tables were not applied:\n${applied.output}`);
    }
    for (const address of callerAddresses(fleet)) {
        await waitFor(`the new brand at ${address}`, () => isAnswered(address, newBrand, demoKinds[0]!));
    }
};

const stopGracefully = async (program: DemoServer["program"]): Promise<void> => {
    program.signal("SIGTERM");
    const code = await program.exitCode;
    if (code !== 0) {
        throw new Error(`${program.name} ended with code ${code} after SIGTERM.`);
    }
};

const fetchRunCounts = async (fleet: DemoFleet, stoppedServers: DemoServer[]): Promise<Record<string, number>> => {
    const totals: Record<string, number> = {};
    const addRuns = (runs: Record<string, number>): void => {
        for (const [mark, count] of Object.entries(runs)) {
            totals[mark] = (totals[mark] ?? 0) + count;
        }
    };
    for (const server of fleet.servers) {
        if (stoppedServers.includes(server)) {
            const finalReport = JSON.parse(server.program.lines.at(-1)!) as {
                counts: { runs: Record<string, number>; lateNewWork: number; };
            };
            addRuns(finalReport.counts.runs);
            if (finalReport.counts.lateNewWork > 0) {
                throw new Error(`${server.plan.hostId} received new work too long after it announced that it is leaving.`);
            }
            continue;
        }
        const res = await request(`http://${server.address}/stand-in/counts`);
        addRuns((await res.body.json() as { runs: Record<string, number>; }).runs);
    }
    return totals;
};

const computeTotals = (callers: CallerStandIn[], runs: Record<string, number>): RequestTotals => {
    const callerCounts = callers.map(caller => caller.counts);
    const sum = (select: (counts: CallerStandIn["counts"]) => number): number =>
        callerCounts.reduce((total, counts) => total + select(counts), 0);
    const confirmed = callerCounts.flatMap(counts => counts.confirmedMarks);
    return {
        requests: sum(counts => counts.requests),
        wholeAnswers: sum(counts => counts.wholeAnswers),
        doubled: callerCounts.flatMap(counts => counts.keyedMarks).filter(mark => (runs[mark] ?? 0) > 1).length,
        // Requests without an answer, and confirmed requests that no server ran, count as truncated answers.
        cut: sum(counts => counts.cut + counts.failed) + confirmed.filter(mark => runs[mark] === undefined).length,
        problems: callerCounts.flatMap(counts => counts.firstProblems),
    };
};

/** Runs the demo once; resolves with whether every request was answered whole and ran at most once, and every process exited with code 0. */
export const runOnce = async (): Promise<boolean> => {
    const fleet = await startDemoFleet();
    const logProgress = (text: string): void => console.log(`demo: ${text}`);
    logProgress(
        `${fleet.stateHosts.length} state hosts, ${fleet.entryHosts.length} entry hosts and ${fleet.servers.length} backend servers are running.`,
    );
    try {
        await waitUntilReady(fleet);
        logProgress("Every entry host serves; starting callers.");
        const callers = startCallers(fleet);
        await sleep(loadMs);
        await addRoute(fleet);
        logProgress("A route was added and is in force on every entry host.");
        const stoppedServer = fleet.servers.find(server => server.plan.service === "seat-maps")!;
        await stopGracefully(stoppedServer.program);
        logProgress(`Backend server ${stoppedServer.plan.hostId} left the fleet.`);
        await stopGracefully(fleet.entryHosts[0]!.program);
        logProgress(`Entry host ${fleet.entryHosts[0]!.self.hostId} stopped.`);
        await sleep(loadMs);
        await Promise.all(callers.map(caller => caller.stop()));
        const totals = computeTotals(callers, await fetchRunCounts(fleet, [stoppedServer]));
        const isCorrect = totals.requests > 0 && totals.wholeAnswers === totals.requests && totals.doubled === 0
            && totals.cut === 0;
        if (!isCorrect) {
            for (const problem of totals.problems) {
                logProgress(problem);
            }
        }
        const exitCodes = await fleet.stop();
        const failedProcesses = [...exitCodes].filter(([, code]) => code !== 0);
        for (const [name, code] of failedProcesses) {
            logProgress(`${name} ended with code ${code}.`);
        }
        logProgress(
            `${totals.requests} requests, ${totals.wholeAnswers} whole answers, ${totals.doubled} doubled, ${totals.cut} cut`,
        );
        return isCorrect && failedProcesses.length === 0;
    }
    catch (err) {
        await fleet.stop();
        throw err;
    }
};
