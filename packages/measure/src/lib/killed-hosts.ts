/** Measures request outcomes at callers and servers when one entry host is suspended and another one is killed under load. */
import { demoKinds, startDemoFleet, waitUntilReady } from "@cassiapick/demo";
import type { DemoFleet } from "@cassiapick/demo";
import { startCallerStandIn } from "@cassiapick/standins";
import type { CallerCounts, CallerStandIn, RunCounts } from "@cassiapick/standins";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { Measurement } from "./measurement.js";

const beforeSuspensionMs = 2000;
const suspensionMs = 3000;
const afterResumeMs = 1500;
const afterKillMs = 5000;
const concurrency = 4;
const callerPauseMs = 5;
const callerDeadlineMs = 3000;

const startCallers = (fleet: DemoFleet): CallerStandIn[] => {
    const addresses = fleet.entryHosts.map(({ self }) => `${self.callerHost}:${self.callerPort}`);
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
            idleMs: callerPauseMs,
            markPrefix: `caller-${index}`,
            deadlineMs: callerDeadlineMs,
        })
    );
};

const fetchRunCounts = async (fleet: DemoFleet): Promise<Map<string, number>> => {
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

/** Suspends one entry host, kills another one, and counts duplicate runs, lost requests and unknown outcomes. */
export const measureKilledHosts: Measurement = async options => {
    const fleet = await startDemoFleet();
    await waitUntilReady(fleet);
    const callers = startCallers(fleet);
    await sleep(beforeSuspensionMs);
    const [killed, suspended] = fleet.entryHosts;
    suspended!.program.signal("SIGSTOP");
    await sleep(suspensionMs);
    suspended!.program.signal("SIGCONT");
    await sleep(afterResumeMs);
    killed!.program.signal("SIGKILL");
    await sleep(afterKillMs);
    await Promise.all(callers.map(caller => caller.stop()));

    const runs = await fetchRunCounts(fleet);
    const callerCounts = callers.map(caller => caller.counts);
    const sum = (select: (counts: CallerCounts) => number): number =>
        callerCounts.reduce((total, counts) => total + select(counts), 0);
    const keyedMarks = callerCounts.flatMap(counts => counts.keyedMarks);
    const result = {
        requests: sum(counts => counts.requests),
        wholeAnswers: sum(counts => counts.wholeAnswers),
        doubled: keyedMarks.filter(mark => (runs.get(mark) ?? 0) > 1).length,
        lost: callerCounts.flatMap(counts => counts.confirmedMarks).filter(mark => !runs.has(mark)).length,
        cut: sum(counts => counts.cut),
        // Failed after all retries: the killed host held the claim, so it is unknown whether the request ran.
        unknown: sum(counts => counts.failed),
    };
    await fleet.stop();
    console.log(options.json ? JSON.stringify(result) : `killed-hosts: ${JSON.stringify(result)}`);
};
