/** The frame of a case: runs it with or without its disruption, writes record.txt, and sets the exit code. */
import { createWriteStream } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { call } from "./call.js";
import { startFleet } from "./fleet.js";
import type { Fleet, FleetOptions } from "./fleet.js";
import type { RouteRow } from "./operator.js";
import { configOf, publish } from "./operator.js";
import { sleep, waitFor } from "./time.js";
import { startUpstream } from "./upstream.js";
import type { Upstream, UpstreamOptions } from "./upstream.js";

/** What a case is given. */
export interface CaseContext {
    fleet: Fleet;
    /** Whether to bring about the disruption. */
    hasTrouble: boolean;
    /** Writes a line with the time since the start to record.txt. */
    record: (line: string) => void;
    /** Starts an upstream that ends with the case. */
    addUpstream: (options: UpstreamOptions) => Promise<Upstream>;
    /** Publishes the first configuration and waits until all entry hosts are ready. */
    makeReady: (routes: readonly RouteRow[], extra?: Readonly<Record<string, unknown>>) => Promise<void>;
}

/** The rule held, or what was seen of its break. */
export type Verdict = { held: true; } | { held: false; seen: string; };

const exitCodes = { held: 0, broken: 1, notRun: 2 } as const;
const maxRunMs = 110_000;
const readyTimeoutMs = 30_000;
/** For upstreams to be known everywhere. */
const settleMs = 2500;

const prepare = async (fleet: Fleet, routes: readonly RouteRow[], extra?: Readonly<Record<string, unknown>>): Promise<void> => {
    if (!await publish(fleet, configOf(1, routes, extra), readyTimeoutMs)) {
        throw new Error("The first configuration was not acknowledged.");
    }
    const isReady = async (address: string): Promise<boolean> => {
        const { status } = await call({
            address: `${address}:${fleet.ports.readiness}`,
            path: "/cassiapick/readyz",
            timeoutMs: 1000,
        });
        return status === 200;
    };
    for (const entry of fleet.entries) {
        if (!await waitFor(() => isReady(entry.address), readyTimeoutMs)) {
            throw new Error(`${entry.name} did not become ready.`);
        }
    }
    await sleep(settleMs);
};

/** Runs the case in `review/<number>`; the process ends with it. */
export const runCase = async (
    number: number,
    fleetOptions: FleetOptions,
    body: (context: CaseContext) => Promise<Verdict>,
): Promise<void> => {
    const hasTrouble = process.env.TROUBLE !== "0";
    const file = createWriteStream(join(fileURLToPath(new URL("../..", import.meta.url)), String(number), "record.txt"));
    const startedAt = performance.now();
    const record = (line: string): void => {
        file.write(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${line}\n`);
    };
    const upstreams: Upstream[] = [];
    let fleet: Fleet | undefined;
    let exitCode: number = exitCodes.notRun;
    const timer = setTimeout(() => {
        record("result: not run to its end in time");
        void finish();
    }, maxRunMs);
    const finish = async (): Promise<void> => {
        clearTimeout(timer);
        upstreams.forEach(upstream => upstream.close());
        await fleet?.stop();
        await new Promise(resolve => file.end(resolve));
        process.exit(exitCode);
    };
    try {
        const running = await startFleet(fleetOptions);
        fleet = running;
        record(`started ${running.states.length} state hosts and ${running.entries.length} entry hosts; trouble: ${hasTrouble}`);
        const verdict = await body({
            fleet: running,
            hasTrouble,
            record,
            addUpstream: async options => {
                const upstream = await startUpstream(running, options);
                upstreams.push(upstream);
                return upstream;
            },
            makeReady: (routes, extra) => prepare(running, routes, extra),
        });
        exitCode = verdict.held ? exitCodes.held : exitCodes.broken;
        const text = verdict.held ? "result: the rule held" : `result: the rule was broken: ${verdict.seen}`;
        record(text);
        process.stdout.write(`${text}\n`);
    }
    catch (err) {
        record(`result: not run: ${(err as Error).stack ?? String(err)}`);
        process.stderr.write(`${(err as Error).message}\n`);
    }
    await finish();
};
