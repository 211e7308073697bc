/** A heartbeat of another writer names an address that is none; see claim.txt. */
import { runCase } from "../lib/case.js";
import type { CaseContext, Verdict } from "../lib/case.js";
import { createClient } from "../lib/client.js";
import type { RouteRow } from "../lib/operator.js";
import { sleep } from "../lib/time.js";
import { heartbeatOf, sendHeartbeat } from "../lib/upstream.js";

const kinds: readonly RouteRow[] = [
    { name: "seat-map", prefix: "/seat-map/", type: "safe", service: "pew-viewer", timeoutS: 3 },
    { name: "refund", prefix: "/refund/", type: "unsafe", service: "refund-desk", timeoutS: 4 },
    { name: "reserve", prefix: "/reserve/", type: "unsafe", service: "booking-desk", timeoutS: 2.5 },
    { name: "programme", prefix: "/programme/", type: "safe", service: "programme-board", timeoutS: 12 },
];
const upstreamsPerService = 3;
const zones = ["mtl-a", "qc-a", "sag-a"];
/** No port: the highest one is 65535. */
const unreadablePort = 80_800;
/** The service that the other writer names. */
const namedService = "refund-desk";
const requestIntervalMs = 25;
const troubleAtMs = 3000;
/** What is judged begins this long after the heartbeat. */
const settleMs = 5000;
const judgedMs = 20_000;
const minServedFraction = 0.25;

const body = async ({ fleet, hasTrouble, record, addUpstream, makeReady }: CaseContext): Promise<Verdict> => {
    for (const { service } of kinds) {
        for (let index = 0; index < upstreamsPerService; index += 1) {
            await addUpstream({ id: `i-${service}-${index + 1}`, service, zone: zones[index]! });
        }
    }
    await makeReady(kinds);
    const client = createClient(fleet);
    const startedAt = performance.now();
    const judgedFrom = startedAt + troubleAtMs + settleMs;
    const judgedUntil = judgedFrom + judgedMs;
    const counts = new Map(kinds.map(({ name }) => [name, { sent: 0, served: 0 }]));
    const open: Promise<void>[] = [];
    let hasSent = !hasTrouble;

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
        if (!hasSent && performance.now() >= startedAt + troubleAtMs) {
            hasSent = true;
            for (const [index, zone] of zones.entries()) {
                const address = `${fleet.nextAddress()}:${unreadablePort}`;
                const heartbeat = heartbeatOf({ address, service: namedService, zone, born: Date.now(), sequence: 1 });
                const isAcked = await sendHeartbeat(fleet, `i-other-writer-${index + 1}`, heartbeat);
                record(`heartbeat of another writer with the address '${address}': ${isAcked ? "acknowledged" : "refused"}`);
            }
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

await runCase(2, { entryCount: 3 }, body);
