#!/usr/bin/env node
/** Command-line entry point of `caller-stand-in`: sends load for a given time and prints its counts. */
import { integerSetting, readSettings, textSetting } from "@cassiapick/operations";
import { setTimeout as sleep } from "node:timers/promises";
import { startCallerStandIn } from "./lib/caller-stand-in.js";

const definitions = {
    entryHosts: { description: "caller addresses of entry hosts, as 'host:port' separated by commas", schema: textSetting() },
    brand: { description: "the brand of the requests", schema: textSetting() },
    kind: { description: "the kind of request", schema: textSetting() },
    concurrency: { description: "the number of requests in flight", schema: integerSetting(1, 10_000), default: 4 },
    seconds: { description: "how long to send, in seconds", schema: integerSetting(1, 86_400), default: 5 },
};
const msPerSecond = 1000;

const result = readSettings({ program: "caller-stand-in", definitions, args: process.argv.slice(2), env: process.env });
if (!result.ok) {
    console.error(result.errs.map(err => err.message).join("\n"));
    process.exit(2);
}
const { brand, kind, concurrency, seconds } = result.values;
const caller = startCallerStandIn({
    entryHosts: result.values.entryHosts.split(","),
    kinds: [{ brand, kind, method: "GET", keyed: false }],
    concurrency,
    idleMs: 10,
    markPrefix: `caller-${process.pid}`,
    deadlineMs: 5000,
});
await sleep(seconds * msPerSecond);
await caller.stop();
const { durationsMs, keyedMarks, confirmedMarks, ...counts } = caller.counts;
console.log(JSON.stringify({ ...counts, timed: durationsMs.length, keyed: keyedMarks.length, confirmed: confirmedMarks.length }));
