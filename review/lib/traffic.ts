/** Steady traffic of several kinds of requests, and the check that none of them is starved. */
import type { CaseContext, Verdict } from "./case.js";
import { createClient } from "./client.js";
import type { RouteRow } from "./operator.js";
import { sleep } from "./time.js";

/** The kinds of requests of the smallest deployment, each with a service of its own. */
export const kinds: readonly RouteRow[] = [
    { name: "seat-map", prefix: "/seat-map/", type: "safe", service: "pew-viewer", timeoutS: 3 },
    { name: "refund", prefix: "/refund/", type: "unsafe", service: "refund-desk", timeoutS: 4 },
    { name: "reserve", prefix: "/reserve/", type: "unsafe", service: "booking-desk", timeoutS: 2.5 },
    { name: "programme", prefix: "/programme/", type: "safe", service: "programme-board", timeoutS: 12 },
];
export const zones = ["mtl-a", "qc-a", "sag-a"] as const;

const requestIntervalMs = 25;
const troubleAtMs = 3000;
/** What is judged begins this long after the trouble. */
const settleMs = 5000;
const judgedMs = 20_000;
const minServedFraction = 0.25;

/** Sends requests of all kinds in turn, calls `trouble` once on the way, and compares how often each kind is served. */
export const judgeStarved = async (context: CaseContext, trouble: () => Promise<void>): Promise<Verdict> => {
    const { fleet, hasTrouble, record } = context;
    const client = createClient(fleet);
    const startedAt = performance.now();
    const judgedFrom = startedAt + troubleAtMs + settleMs;
    const judgedUntil = judgedFrom + judgedMs;
    const counts = new Map(kinds.map(({ name }) => [name, { sent: 0, served: 0 }]));
    const open: Promise<void>[] = [];
    let isTroublePending = hasTrouble;

    const sendOne = async ({ name, prefix, timeoutS }: RouteRow, number: number): Promise<void> => {
        const sentAt = performance.now();
        const answer = await client.send({ path: `${prefix}${number}`, deadlineMs: timeoutS * 1000 });
        const isServed = answer.status === 200 && answer.isComplete;
        record(
            `${name} ${answer.attemptId} via ${answer.address}: ${answer.status || answer.error} after ${answer.elapsedMs} ms`,
        );
        const count = counts.get(name)!;
        if (sentAt >= judgedFrom && sentAt < judgedUntil) {
            count.sent += 1;
            count.served += isServed ? 1 : 0;
        }
    };

    for (let number = 0; performance.now() < judgedUntil; number += 1) {
        if (isTroublePending && performance.now() >= startedAt + troubleAtMs) {
            isTroublePending = false;
            await trouble();
        }
        open.push(sendOne(kinds[number % kinds.length]!, number));
        await sleep(requestIntervalMs);
    }
    await Promise.all(open);

    const all = [...counts.values()];
    const servedOfAll = all.reduce((sum, { served }) => sum + served, 0) / all.reduce((sum, { sent }) => sum + sent, 0);
    const starved: string[] = [];
    for (const [name, { sent, served }] of counts) {
        record(`${name}: ${served} of ${sent} served`);
        if (served / sent < minServedFraction * servedOfAll) {
            starved.push(`${name}: ${served} of ${sent} served, ${(100 * servedOfAll).toFixed(0)} of 100 of all`);
        }
    }
    return starved.length === 0 ? { held: true } : { held: false, seen: starved.join("; ") };
};
