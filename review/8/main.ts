/** Callers that read their answers slowly, while the entry host that serves them is stopped. */
import { spawn } from "node:child_process";
import { join } from "node:path";
import { hasTrouble, runCase } from "../support-2/case.js";
import { configOf } from "../support-2/config.js";
import { createFleet, startFleet } from "../support-2/fleet.js";
import { record, sleep } from "../support-2/record.js";
import { headerOf, startUpstream } from "../support-2/upstream.js";
import type { Upstream } from "../support-2/upstream.js";

const folder = process.argv[2]!;
const hostname = "seats.example";
const callerCount = 6;
/** Length of each answer, in bytes. */
const answerBytes = 240_000;
/** The stop follows the requests after this time, in milliseconds. */
const stopAfterMs = 1000;
/** Callers read slowly for this long, then as fast as they can, in seconds. */
const slowSeconds = 4.8;
const deadlineMs = 12_000;
/** `graceS` and what the rule adds to it, in milliseconds. */
const graceMs = 6000;
const afterGraceMs = 1000;
/** The core is stable and all machines are in touch by then, in milliseconds. */
const calmMs = 5000;

/** How a request ended for its caller. */
interface Ended {
    attempt: string;
    end: string;
    statusLine: string;
    bytes: number;
    expectedBytes: number | null;
    endedAfterMs: number;
}

const fleet = await createFleet({
    stateHosts: 3,
    entryHosts: 2,
    bounds: ["graceS=6", "configApplyS=2.5", "retryBudgetRatio=0.2", "retryBudgetExtra=178", "retryWindowS=10"],
});
const upstreams: Upstream[] = [];

/** Starts a caller; resolves with what it saw. */
const ask = (address: string, number: number): Promise<Ended> =>
    new Promise((resolve, reject) => {
        const attempt = `seat-map-${number}`;
        const head = [
            "GET /seats/1 HTTP/1.1",
            `Host: ${hostname}`,
            `Attempt-Id: ${attempt}`,
            `Request-Deadline-Ms: ${deadlineMs}`,
            "",
            "",
        ];
        const words = [
            join(folder, "slow_caller.py"),
            address,
            String(fleet.ports.front),
            head.join("\\r\\n"),
            String(slowSeconds),
        ];
        const caller = spawn("python3", words, { stdio: ["ignore", "pipe", "inherit"] });
        let output = "";
        caller.stdout.on("data", (chunk: Buffer) => {
            output += chunk.toString();
        });
        caller.on("error", reject);
        caller.on("close", () => {
            try {
                const ended = { attempt, ...JSON.parse(output) as Omit<Ended, "attempt"> };
                record(`${attempt} answered: ${JSON.stringify(ended)}`);
                resolve(ended);
            }
            catch {
                reject(new Error(`${attempt}: the caller printed '${output}'`));
            }
        });
        record(`${attempt} sent to ${address}`);
    });

const play = async (): Promise<string[]> => {
    for (const number of [1, 2, 3]) {
        upstreams.push(
            await startUpstream(fleet, {
                id: `i-seats-${number}`,
                service: "seats",
                zone: "north-a",
                run: (req, res, upstream) => {
                    const body = Buffer.alloc(answerBytes, "x");
                    res.once(
                        "finish",
                        () => record(`${upstream.id} has sent all of the answer to ${headerOf(req, "attempt-id")}`),
                    );
                    res.writeHead(200, upstream.answerHeaders(req, body)).end(body);
                },
            }),
        );
    }
    const route = {
        name: "seat-map",
        hostname,
        pathPrefix: "/seats/",
        routeType: "safe",
        timeoutS: 12,
        targetLatencyS: 3,
        backend: "seats",
        maxAttempts: 2,
    } as const;
    await startFleet(fleet, configOf(1, [route], ["seats"]), async () => {
        for (const upstream of upstreams) {
            await upstream.announce();
        }
    });
    await sleep(calmMs);
    const [entry] = fleet.entries;
    const asked = Array.from({ length: callerCount }, (_, index) => ask(entry!.address, index + 1));
    await sleep(stopAfterMs);
    if (hasTrouble) {
        entry!.signal("SIGTERM");
    }
    const ended = await Promise.all(asked);
    const lastMs = Math.min(deadlineMs, stopAfterMs + graceMs + afterGraceMs);
    return ended
        .filter(({ end, endedAfterMs }) => end !== "complete" && endedAfterMs < lastMs)
        .map(({ attempt, end, statusLine, bytes, expectedBytes, endedAfterMs }) =>
            `${attempt}: '${statusLine}', then ${end} after ${endedAfterMs} ms with ${bytes} of ${expectedBytes ?? 0} bytes`
        );
};

await runCase(folder, play, async () => {
    upstreams.forEach(upstream => upstream.close());
    await fleet.close();
});
