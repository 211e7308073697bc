/** Two changes of the configuration under versions of seventeen digits. */
import { ask } from "../support-2/caller.js";
import { hasTrouble, runCase } from "../support-2/case.js";
import { configOf } from "../support-2/config.js";
import { createFleet, startFleet } from "../support-2/fleet.js";
import { call } from "../support-2/http.js";
import { record, sleep } from "../support-2/record.js";
import { startUpstream } from "../support-2/upstream.js";
import type { Upstream } from "../support-2/upstream.js";

const hostname = "seats.example";
/** Date, time and a counter of three digits; without the disruption, small numbers. */
const versions = hasTrouble ? ["r20261206231500001", "r20261206231500002"] as const : ["r1", "r2"] as const;
const services = ["blue", "green"] as const;
/** `configApplyS` and a second, in milliseconds. */
const applyMs = 2500 + 1000;
const requestCount = 10;

const fleet = await createFleet({
    stateHosts: 3,
    entryHosts: 2,
    bounds: ["graceS=6", "configApplyS=2.5", "retryBudgetRatio=0.2", "retryBudgetExtra=58", "retryWindowS=10"],
});
const upstreams: Upstream[] = [];

/** The configuration with the route to `service`. */
const documentOf = (version: string, service: string): unknown => {
    const route = {
        name: "seat-map",
        hostname,
        pathPrefix: "/seats/",
        routeType: "safe",
        timeoutS: 3,
        targetLatencyS: 1,
        backend: service,
        maxAttempts: 2,
    } as const;
    return { ...configOf(1, [route], services) as Record<string, unknown>, version };
};

const play = async (): Promise<string[]> => {
    for (const service of services) {
        upstreams.push(
            await startUpstream(fleet, {
                id: `i-${service}-1`,
                service,
                zone: "north-a",
                run: (req, res, upstream) => {
                    const body = Buffer.from(`from ${service}\n`);
                    res.writeHead(200, upstream.answerHeaders(req, body)).end(body);
                },
            }),
        );
    }
    const [firstVersion, newestVersion] = versions;
    await startFleet(fleet, documentOf(firstVersion, "blue"), async () => {
        for (const upstream of upstreams) {
            await upstream.announce();
        }
    });
    record(`${firstVersion} with the route to blue is acknowledged`);
    await sleep(applyMs);
    if (await fleet.control("POST", "/cassiapick/Config.Put", documentOf(newestVersion, "green")) === undefined) {
        throw new Error("The second change was not acknowledged.");
    }
    record(`${newestVersion} with the route to green is acknowledged`);
    await sleep(applyMs);
    const breaks: string[] = [];
    for (const { name, address } of fleet.states) {
        const reply = await call({ host: address, port: fleet.ports.control, method: "GET", path: "/cassiapick/Config.Get" });
        if (reply?.status !== 200) {
            record(`${name} reads back ${reply?.status ?? "nothing"}`);
            continue;
        }
        const { version } = JSON.parse(reply.body) as { version: string; };
        record(`${name} reads back ${version}`);
        if (version !== newestVersion) {
            breaks.push(`${name} reads back ${version} after the acknowledgement of ${newestVersion}`);
        }
    }
    for (let number = 1; number <= requestCount; number += 1) {
        const entry = fleet.entries[number % fleet.entries.length]!;
        const answer = await ask(fleet, entry, { attempt: `seat-map-${number}`, hostname, path: `/seats/${number}` });
        if (answer?.body.includes("blue") === true) {
            breaks.push(`seat-map-${number} was run by blue, as only the older version allows`);
        }
    }
    return breaks;
};

await runCase(process.argv[2]!, play, async () => {
    upstreams.forEach(upstream => upstream.close());
    await fleet.close();
});
