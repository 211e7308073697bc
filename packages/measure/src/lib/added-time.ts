/** What an entry host adds to a request, beside a bare pass-through in the same run. */
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

/** Options of one load. */
interface LoadOptions {
    origin: string;
    /** Requests under way at a time. */
    concurrency: number;
    /** Requests a second in all; `undefined` sends as fast as answers come. */
    ratePerS?: number;
    lengthMs: number;
}

const usPerMs = 1000;
const msPerSecond = 1000;
const concurrency = 32;
const slots = 256;
const warmUpMs = 3000;
const lengthMs = 6000;
const rounds = 3;
const targetShare = 0.8;
const targetP99Ms = 2.7;
const readyPauseMs = 100;

const runLoad = async (options: LoadOptions): Promise<LoadResult> => {
    const pool = new Pool(options.origin, { connections: options.concurrency });
    const times = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
    const until = performance.now() + options.lengthMs;
    const periodMs = options.ratePerS === undefined ? 0 : options.concurrency * msPerSecond / options.ratePerS;
    let failed = 0;

    const work = async (worker: number): Promise<void> => {
        let dueAt = performance.now() + periodMs * worker / options.concurrency;
        while (performance.now() < until) {
            if (periodMs > 0) {
                await sleep(Math.max(0, dueAt - performance.now()));
                dueAt += periodMs;
            }
            const startedAt = performance.now();
            const res = await pool.request({ path: "/k/1", method: "GET", headers: { "cassiapick-brand": "b", "x-mark": "m" } });
            await res.body.arrayBuffer();
            failed += res.statusCode === 200 ? 0 : 1;
            times.recordValue(Math.round((performance.now() - startedAt) * usPerMs));
        }
    };

    await Promise.all(Array.from({ length: options.concurrency }, (_, worker) => work(worker)));
    await pool.close();
    return {
        requestsPerS: times.totalCount / options.lengthMs * msPerSecond,
        p50Ms: times.getValueAtPercentile(50) / usPerMs,
        p99Ms: times.getValueAtPercentile(99) / usPerMs,
        failed,
    };
};

const median = (values: number[]): number => [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;

const waitUntilServed = async (origin: string): Promise<void> => {
    const pool = new Pool(origin);
    for (;;) {
        const res = await pool.request({ path: "/k/1", method: "GET", headers: { "cassiapick-brand": "b" } });
        await res.body.dump();
        if (res.statusCode === 200) {
            break;
        }
        await sleep(readyPauseMs);
    }
    await pool.close();
};

/** Measures the share of a bare pass-through's throughput that is kept, and the time added at half load. */
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
    await waitUntilServed(site.entryOrigin);
    const origins = { bare: site.passThroughOrigin, entry: site.entryOrigin };
    for (const origin of Object.values(origins)) {
        await runLoad({ origin, concurrency, lengthMs: warmUpMs });
    }
    const full = { bare: [] as LoadResult[], entry: [] as LoadResult[] };
    const half = { bare: [] as LoadResult[], entry: [] as LoadResult[] };
    // The two take turns, so that a busy machine disturbs both alike.
    for (let round = 0; round < rounds; round += 1) {
        full.bare.push(await runLoad({ origin: origins.bare, concurrency, lengthMs }));
        full.entry.push(await runLoad({ origin: origins.entry, concurrency, lengthMs }));
    }
    const ratePerS = median(full.entry.map(load => load.requestsPerS)) / 2;
    for (let round = 0; round < rounds; round += 1) {
        half.bare.push(await runLoad({ origin: origins.bare, concurrency, ratePerS, lengthMs }));
        half.entry.push(await runLoad({ origin: origins.entry, concurrency, ratePerS, lengthMs }));
    }
    await site.stop();

    const of = (loads: LoadResult[], read: (load: LoadResult) => number): number => median(loads.map(read));
    const barePerS = of(full.bare, load => load.requestsPerS);
    const entryPerS = of(full.entry, load => load.requestsPerS);
    const result = {
        barePerS,
        entryPerS,
        keptShare: entryPerS / barePerS,
        targetShare,
        halfLoadPerS: ratePerS,
        bareP50Ms: of(half.bare, load => load.p50Ms),
        entryP50Ms: of(half.entry, load => load.p50Ms),
        bareP99Ms: of(half.bare, load => load.p99Ms),
        entryP99Ms: of(half.entry, load => load.p99Ms),
        addedP99Ms: of(half.entry, load => load.p99Ms) - of(half.bare, load => load.p99Ms),
        targetP99Ms,
        failed: [...full.entry, ...half.entry].reduce((sum, load) => sum + load.failed, 0),
    };
    if (options.json) {
        console.log(JSON.stringify(result));
        return;
    }
    console.table(result);
    console.log(
        `share kept: ${result.keptShare.toFixed(2)} (target ${targetShare}: ${
            result.keptShare >= targetShare ? "met" : "missed"
        })`,
    );
    console.log(
        `added p99: ${result.addedP99Ms.toFixed(2)} ms (target ${targetP99Ms} ms: ${
            result.addedP99Ms <= targetP99Ms ? "met" : "missed"
        })`,
    );
};
