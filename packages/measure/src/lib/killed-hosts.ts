/** Real processes under load while an entry host is stopped for a while and another one is killed: what callers saw, and what ran twice. */
import { demoKinds, startDemoFleet, waitUntilReady } from "@cassiapick/demo";
import type { DemoFleet } from "@cassiapick/demo";
import { startCallerStandIn } from "@cassiapick/standins";
import type { CallerCounts, CallerStandIn, RunCounts } from "@cassiapick/standins";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { Measurement } from "./measurement.js";

const beforeMs = 2000;
const stoppedMs = 3000;
const betweenMs = 1500;
const afterMs = 5000;
const concurrency = 4;
const pauseMs = 5;
const deadlineMs = 3000;

const startCallers = (fleet: DemoFleet): CallerStandIn[] => {
    const addresses = fleet.entries.map(({ self }) => `${self.callerHost}:${self.callerPort}`);
    const kinds = demoKinds.map(({ kind, method, keyed }) => ({
        brand: fleet.tables.routes.find(route => route.kind === kind)!.brand,
        kind,
        method,
        keyed,
    }));
    return addresses.map((_, index) =>
        startCallerStandIn({
            entryHosts: [...addresses.slice(index), ...addresses.slice(0, index)],
            kinds,
            concurrency,
            idleMs: pauseMs,
            markPrefix: `caller-${index}`,
            deadlineMs,
        })
    );
};

const readRuns = async (fleet: DemoFleet): Promise<Map<string, number>> => {
    const totals = new Map<string, number>();
    for (const { address } of fleet.servers) {
        const res = await request(`http://${address}/stand-in/counts`);
        const { runs } = await res.body.json() as RunCounts;
        for (const [mark, count] of Object.entries(runs)) {
            totals.set(mark, (totals.get(mark) ?? 0) + count);
        }
    }
    return totals;
};

/** Stops one entry host for a while, kills another one, and counts doubles, losses and unknown outcomes. */
export const measureKilledHosts: Measurement = async options => {
    const fleet = await startDemoFleet();
    await waitUntilReady(fleet);
    const callers = startCallers(fleet);
    await sleep(beforeMs);
    const [killed, stopped] = fleet.entries;
    stopped!.program.signal("SIGSTOP");
    await sleep(stoppedMs);
    stopped!.program.signal("SIGCONT");
    await sleep(betweenMs);
    killed!.program.signal("SIGKILL");
    await sleep(afterMs);
    await Promise.all(callers.map(caller => caller.stop()));

    const runs = await readRuns(fleet);
    const all = callers.map(caller => caller.counts);
    const sum = (read: (counts: CallerCounts) => number): number => all.reduce((total, counts) => total + read(counts), 0);
    const keyedMarks = all.flatMap(counts => counts.keyedMarks);
    const result = {
        requests: sum(counts => counts.requests),
        wholeAnswers: sum(counts => counts.wholeAnswers),
        doubled: keyedMarks.filter(mark => (runs.get(mark) ?? 0) > 1).length,
        lost: all.flatMap(counts => counts.confirmedMarks).filter(mark => !runs.has(mark)).length,
        cut: sum(counts => counts.cut),
        // Given up after every resend: the killed host held the claim, so nobody knows whether the request ran.
        unknown: sum(counts => counts.failed),
    };
    await fleet.stop();
    console.log(options.json ? JSON.stringify(result) : `killed-hosts: ${JSON.stringify(result)}`);
};
