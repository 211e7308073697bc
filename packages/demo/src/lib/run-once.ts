/** Goes through the whole path once, under load, and counts what the callers saw. */
import { startCallerStandIn } from "@cassiapick/standins";
import type { CallerStandIn } from "@cassiapick/standins";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { startDemoFleet } from "./demo-fleet.js";
import type { DemoFleet, DemoServer } from "./demo-fleet.js";
import { demoKinds, Deployment } from "./fleet-plan.js";
import type { DemoKind } from "./fleet-plan.js";

interface Totals {
    requests: number;
    whole: number;
    doubled: number;
    cut: number;
    problems: string[];
}

const loadMs = 1500;
const readyTimeoutMs = 30_000;
const pollMs = 100;
const newBrand = "sainte-nouvelle";

const brandOf = (deployment: Deployment): string => deployment === Deployment.Ticketing ? "saint-jerome" : "ba-sugar";

const callerAddresses = (fleet: DemoFleet): string[] => fleet.entries.map(({ self }) => `${self.callerHost}:${self.callerPort}`);

/** The first brand of the deployment's routes, so that the demo follows the example tables. */
const brandIn = (fleet: DemoFleet, deployment: Deployment): string => {
    const kinds = new Set(demoKinds.filter(kind => kind.deployment === deployment).map(kind => kind.kind));
    return fleet.tables.routes.find(route => kinds.has(route.kind))?.brand ?? brandOf(deployment);
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

const waitFor = async (what: string, check: () => Promise<boolean>): Promise<void> => {
    const until = Date.now() + readyTimeoutMs;
    while (!await check()) {
        if (Date.now() > until) {
            throw new Error(`The demo waited ${readyTimeoutMs} ms in vain for: ${what}.`);
        }
        await sleep(pollMs);
    }
};

/** Waits until each entry host gets reads of every service answered. */
export const waitUntilReady = async (fleet: DemoFleet): Promise<void> => {
    for (const address of callerAddresses(fleet)) {
        for (const kind of demoKinds) {
            await waitFor(`${kind.kind} at ${address}`, () => isAnswered(address, brandIn(fleet, kind.deployment), kind));
        }
    }
};

const startCallers = (fleet: DemoFleet): CallerStandIn[] => {
    const kinds = demoKinds.map(kind => ({
        brand: brandIn(fleet, kind.deployment),
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

const editTable = async (fleet: DemoFleet): Promise<void> => {
    const route = fleet.tables.routes.find(candidate => candidate.kind === "seat-maps")!;
    const routes = [...fleet.tables.routes, { ...route, brand: newBrand }];
    fleet.writeTables({ ...fleet.tables, routes });
    const applied = await fleet.operate(["tables", "apply", fleet.routesFile, fleet.poolsFile]);
    if (applied.code !== 0) {
        throw new Error(`The edited tables were not applied:\n${applied.output}`);
    }
    for (const address of callerAddresses(fleet)) {
        await waitFor(`the new brand at ${address}`, () => isAnswered(address, newBrand, demoKinds[0]!));
    }
};

const stopOne = async (program: DemoServer["program"]): Promise<void> => {
    program.signal("SIGTERM");
    const code = await program.exited;
    if (code !== 0) {
        throw new Error(`${program.name} ended with code ${code} after SIGTERM.`);
    }
};

const readRuns = async (fleet: DemoFleet, left: DemoServer[]): Promise<Record<string, number>> => {
    const totals: Record<string, number> = {};
    const add = (runs: Record<string, number>): void => {
        for (const [mark, count] of Object.entries(runs)) {
            totals[mark] = (totals[mark] ?? 0) + count;
        }
    };
    for (const server of fleet.servers) {
        if (left.includes(server)) {
            const last = JSON.parse(server.program.lines.at(-1)!) as {
                counts: { runs: Record<string, number>; lateNewWork: number; };
            };
            add(last.counts.runs);
            if (last.counts.lateNewWork > 0) {
                throw new Error(`${server.plan.hostId} got new work too long after it said that it leaves.`);
            }
            continue;
        }
        const res = await request(`http://${server.address}/stand-in/counts`);
        add((await res.body.json() as { runs: Record<string, number>; }).runs);
    }
    return totals;
};

const sumUp = (callers: CallerStandIn[], runs: Record<string, number>): Totals => {
    const all = callers.map(caller => caller.counts);
    const sum = (read: (counts: CallerStandIn["counts"]) => number): number =>
        all.reduce((total, counts) => total + read(counts), 0);
    const confirmed = all.flatMap(counts => counts.confirmedMarks);
    return {
        requests: sum(counts => counts.requests),
        whole: sum(counts => counts.wholeAnswers),
        doubled: all.flatMap(counts => counts.keyedMarks).filter(mark => (runs[mark] ?? 0) > 1).length,
        // A request that never got an answer, and a confirmed one that nobody ran, are as bad as a cut answer.
        cut: sum(counts => counts.cut + counts.failed) + confirmed.filter(mark => runs[mark] === undefined).length,
        problems: all.flatMap(counts => counts.firstProblems),
    };
};

/** Runs the demo once; resolves with whether every figure was right. */
export const runOnce = async (): Promise<boolean> => {
    const fleet = await startDemoFleet();
    const say = (text: string): void => console.log(`demo: ${text}`);
    say(`${fleet.states.length} state hosts, ${fleet.entries.length} entry hosts and ${fleet.servers.length} backend servers run.`);
    try {
        await waitUntilReady(fleet);
        say("Every entry host serves; callers begin.");
        const callers = startCallers(fleet);
        await sleep(loadMs);
        await editTable(fleet);
        say("A route was added and is in force on every entry host.");
        const leaver = fleet.servers.find(server => server.plan.service === "seat-maps")!;
        await stopOne(leaver.program);
        say(`The backend server ${leaver.plan.hostId} left.`);
        await stopOne(fleet.entries[0]!.program);
        say(`The entry host ${fleet.entries[0]!.self.hostId} stopped.`);
        await sleep(loadMs);
        await Promise.all(callers.map(caller => caller.stop()));
        const totals = sumUp(callers, await readRuns(fleet, [leaver]));
        const isRight = totals.requests > 0 && totals.whole === totals.requests && totals.doubled === 0 && totals.cut === 0;
        if (!isRight) {
            for (const problem of totals.problems) {
                say(problem);
            }
        }
        const codes = await fleet.stop();
        const failed = [...codes].filter(([, code]) => code !== 0);
        for (const [name, code] of failed) {
            say(`${name} ended with code ${code}.`);
        }
        say(`${totals.requests} requests, ${totals.whole} whole answers, ${totals.doubled} doubled, ${totals.cut} cut`);
        return isRight && failed.length === 0;
    }
    catch (err) {
        await fleet.stop();
        throw err;
    }
};
