/** Measures the throughput and latency cost of an entry host against a plain pass-through proxy in the same run. */
import { DetectionMode } from "@cassiapick/core";
import { build } from "hdr-histogram-js";
import { setTimeout as sleep } from "node:timers/promises";
import { Pool } from "undici";
import type { Measurement } from "./measurement.js";
import { startSmallSite } from "./small-site.js";

interface LoadResult {
    requestsPerS: number;
    p50Ms: number;
    p99Ms: number;
    failed: number;
}

/** Options of one load run. */
interface LoadOptions {
    origin: string;
    /** Concurrent requests. */
    concurrency: number;
    /** Total request rate per second; `undefined` sends each request as soon as the previous one is answered. */
    ratePerS?: number;
    durationMs: number;
}

const usPerMs = 1000;
const msPerSecond = 1000;
const concurrency = 32;
const slots = 256;
const warmUpMs = 3000;
const durationMs = 6000;
const rounds = 3;
const targetThroughputFraction = 0.8;
const targetP99Ms = 2.7;
const readyPollIntervalMs = 100;

const runLoad = async (options: LoadOptions): Promise<LoadResult> => {
    const pool = new Pool(options.origin, { connections: options.concurrency });
    const durations = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
    const endAt = performance.now() + options.durationMs;
    const intervalMs = options.ratePerS === undefined ? 0 : options.concurrency * msPerSecond / options.ratePerS;
    let failed = 0;

    const runWorker = async (worker: number): Promise<void> => {
        let dueAt = performance.now() + intervalMs * worker / options.concurrency;
        while (performance.now() < endAt) {
            if (intervalMs > 0) {
                await sleep(Math.max(0, dueAt - performance.now()));
                dueAt += intervalMs;
            }
            const startedAt = performance.now();
            const res = await pool.request({ path: "/k/1", method: "GET", headers: { "cassiapick-brand": "b", "x-mark": "m" } });
            await res.body.arrayBuffer();
            failed += res.statusCode === 200 ? 0 : 1;
            durations.recordValue(Math.round((performance.now() - startedAt) * usPerMs));
        }
    };

    await Promise.all(Array.from({ length: options.concurrency }, (_, worker) => runWorker(worker)));
    await pool.close();
    return {
        requestsPerS: durations.totalCount / options.durationMs * msPerSecond,
        p50Ms: durations.getValueAtPercentile(50) / usPerMs,
        p99Ms: durations.getValueAtPercentile(99) / usPerMs,
        failed,
    };
};

const median = (values: number[]): number => [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;

const waitUntilServing = async (origin: string): Promise<void> => {
    const pool = new Pool(origin);
    for (;;) {
        const res = await pool.request({ path: "/k/1", method: "GET", headers: { "cassiapick-brand": "b" } });
        await res.body.dump();
        if (res.statusCode === 200) {
            break;
        }
        await sleep(readyPollIntervalMs);
    }
    await pool.close();
};

/** Measures the fraction of the pass-through's throughput that an entry host reaches, and the latency it adds at half load. */
export const measureAddedTime: Measurement = async options => {
    const site = await startSmallSite({
        tables: {
            routes: [{ brand: "b", kind: "k", destination: "d", timeoutMs: 10_000 }],
            pools: [{ destination: "d", service: "s", floorShare: 0.5, detection: DetectionMode.Prompt }],
        },
        services: ["s"],
        slots,
        serviceMs: 0,
    });
    await waitUntilServing(site.entryOrigin);
    const origins = { bare: site.passThroughOrigin, entry: site.entryOrigin };
    for (const origin of Object.values(origins)) {
        await runLoad({ origin, concurrency, durationMs: warmUpMs });
    }
    const fullLoad = { bare: [] as LoadResult[], entry: [] as LoadResult[] };
    const halfLoad = { bare: [] as LoadResult[], entry: [] as LoadResult[] };
    // Alternates the two, so that other load on the machine affects both equally.
    for (let round = 0; round < rounds; round += 1) {
        fullLoad.bare.push(await runLoad({ origin: origins.bare, concurrency, durationMs }));
        fullLoad.entry.push(await runLoad({ origin: origins.entry, concurrency, durationMs }));
    }
    const ratePerS = median(fullLoad.entry.map(load => load.requestsPerS)) / 2;
    for (let round = 0; round < rounds; round += 1) {
        halfLoad.bare.push(await runLoad({ origin: origins.bare, concurrency, ratePerS, durationMs }));
        halfLoad.entry.push(await runLoad({ origin: origins.entry, concurrency, ratePerS, durationMs }));
    }
    await site.stop();

    const medianOf = (loads: LoadResult[], select: (load: LoadResult) => number): number => median(loads.map(select));
    const bareRequestsPerS = medianOf(fullLoad.bare, load => load.requestsPerS);
    const entryRequestsPerS = medianOf(fullLoad.entry, load => load.requestsPerS);
    const result = {
        barePerS: bareRequestsPerS,
        entryPerS: entryRequestsPerS,
        keptShare: entryRequestsPerS / bareRequestsPerS,
        targetShare: targetThroughputFraction,
        halfLoadPerS: ratePerS,
        bareP50Ms: medianOf(halfLoad.bare, load => load.p50Ms),
        entryP50Ms: medianOf(halfLoad.entry, load => load.p50Ms),
        bareP99Ms: medianOf(halfLoad.bare, load => load.p99Ms),
        entryP99Ms: medianOf(halfLoad.entry, load => load.p99Ms),
        addedP99Ms: medianOf(halfLoad.entry, load => load.p99Ms) - medianOf(halfLoad.bare, load => load.p99Ms),
        targetP99Ms,
        failed: [...fullLoad.entry, ...halfLoad.entry].reduce((sum, load) => sum + load.failed, 0),
    };
    if (options.json) {
        console.log(JSON.stringify(result));
        return;
    }
    console.table(result);
    console.log(
        `share kept: ${result.keptShare.toFixed(2)} (target ${targetThroughputFraction}: ${
            result.keptShare >= targetThroughputFraction ? "met" : "missed"
        })`,
    );
    console.log(
        `added p99: ${result.addedP99Ms.toFixed(2)} ms (target ${targetP99Ms} ms: ${
            result.addedP99Ms <= targetP99Ms ? "met" : "missed"
        })`,
    );
};
