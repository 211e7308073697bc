/** An upstream whose answers go on without end, in lines that look like the starts of further answers. */
import { connect } from "node:net";
import { hasTrouble, runCase } from "../support-2/case.js";
import { configOf } from "../support-2/config.js";
import { createFleet, startFleet } from "../support-2/fleet.js";
import type { Machine } from "../support-2/fleet.js";
import { record, sleep } from "../support-2/record.js";
import { headerOf, startUpstream } from "../support-2/upstream.js";
import type { Upstream } from "../support-2/upstream.js";

const hostname = "seats.example";
/** Requests a second to each service, and for how long. */
const ratePerS = 10;
const playMs = 15_000;
/** `timeoutS` of the routes, in milliseconds. */
const timeoutMs = { programme: 6000, seats: 1500 } as const;
/** The rule's half a second. */
const lateMs = 500;
const workMs = 100;
const calmMs = 5000;

type Service = keyof typeof timeoutMs;

interface Ended {
    attempt: string;
    service: Service;
    /** When the complete answer or the end of the connection came, in milliseconds after the request was sent. */
    afterMs: number;
    status: string;
}

const fleet = await createFleet({
    stateHosts: 3,
    entryHosts: 1,
    bounds: ["graceS=6", "configApplyS=2.5", "retryBudgetRatio=0.2", "retryBudgetExtra=58", "retryWindowS=10"],
});
const upstreams: Upstream[] = [];

/** Sends a request, and reads all that comes until the answer is complete, the connection ends or the caller's deadline has passed. */
const ask = (entry: Machine, service: Service, number: number): Promise<Ended> =>
    new Promise(resolve => {
        const attempt = `${service}-${number}`;
        const sentAt = performance.now();
        const deadlineMs = timeoutMs[service] + 2500;
        const socket = connect({ host: entry.address, port: fleet.ports.front });
        let head = "";
        let bytes = 0;
        let isEnded = false;
        const end = (how: string): void => {
            if (isEnded) {
                return;
            }
            isEnded = true;
            clearTimeout(timer);
            socket.destroy();
            const afterMs = Math.round(performance.now() - sentAt);
            const status = head.split("\r\n")[0]!;
            record(`${attempt} ${how} after ${afterMs} ms: '${status}', ${bytes} bytes`);
            resolve({ attempt, service, afterMs, status });
        };
        const timer = setTimeout(() => end("gave up"), deadlineMs);
        socket.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            head = head.length < 2000 ? head + chunk.toString("latin1") : head;
            const length = /content-length: (\d+)\r\n/iu.exec(head)?.[1];
            if (length !== undefined && head.includes("\r\n\r\n") && bytes >= head.indexOf("\r\n\r\n") + 4 + Number(length)) {
                end("is answered");
            }
        });
        socket.on("error", err => end(err.message));
        socket.on("close", () => end("is closed"));
        const fields = [`Host: ${hostname}`, `Attempt-Id: ${attempt}`, `Request-Deadline-Ms: ${deadlineMs}`, "", ""];
        socket.write([`GET /${service}/${number} HTTP/1.1`, ...fields].join("\r\n"));
        record(`${attempt} sent`);
    });

const startService = async (service: Service, faulty: number): Promise<void> => {
    for (const number of [1, 2, 3]) {
        upstreams.push(
            await startUpstream(fleet, {
                id: `i-${service}-${number}`,
                service,
                zone: "north-a",
                slots: 50,
                run: (req, res, upstream) => {
                    if (number <= faulty && hasTrouble) {
                        const line = Buffer.from("HTTP/1.1 200 OK\r\n".repeat(4000));
                        const { socket } = req;
                        const fields = Object.entries(upstream.answerHeaders(req, line)).filter(([name]) =>
                            name !== "Content-Length"
                        );
                        socket.write(
                            ["HTTP/1.1 200 OK", ...fields.map(([name, value]) => `${name}: ${value}`), "", ""].join("\r\n"),
                        );
                        const go = (): void => {
                            while (!socket.destroyed && socket.write(line)) {
                                // Writes until the connection takes no more.
                            }
                        };
                        socket.on("drain", go);
                        socket.on("error", () => undefined);
                        go();
                        return;
                    }
                    setTimeout(() => {
                        const body = Buffer.from(`${service} for ${headerOf(req, "attempt-id")}\n`);
                        res.writeHead(200, upstream.answerHeaders(req, body)).end(body);
                    }, workMs);
                },
            }),
        );
    }
};

const play = async (): Promise<string[]> => {
    await startService("programme", 1);
    await startService("seats", 0);
    const routes = (["programme", "seats"] as const).map(service => ({
        name: service,
        hostname,
        pathPrefix: `/${service}/`,
        routeType: "safe" as const,
        timeoutS: timeoutMs[service] / 1000,
        targetLatencyS: timeoutMs[service] / 2000,
        backend: service,
        maxAttempts: 2,
    }));
    await startFleet(fleet, configOf(1, routes, ["programme", "seats"]), async () => {
        for (const upstream of upstreams) {
            await upstream.announce();
        }
    });
    await sleep(calmMs);
    const asked: Promise<Ended>[] = [];
    for (let number = 1; number <= ratePerS * playMs / 1000; number += 1) {
        asked.push(ask(fleet.entries[0]!, "programme", number), ask(fleet.entries[0]!, "seats", number));
        await sleep(1000 / ratePerS);
    }
    const ended = await Promise.all(asked);
    const unanswered = ended.filter(({ service, afterMs }) => service === "seats" && afterMs >= timeoutMs.seats);
    const late = unanswered.filter(({ afterMs }) => afterMs >= timeoutMs.seats + lateMs);
    record(
        `${unanswered.length} requests to seats had no answer at their timeoutS, ${late.length} of them had none half a second later`,
    );
    return late.length * 2 > unanswered.length
        ? late.map(({ attempt, afterMs, status }) => `${attempt} had no answer for ${afterMs} ms: '${status}'`)
        : [];
};

await runCase(process.argv[2]!, play, async () => {
    upstreams.forEach(upstream => upstream.close());
    await fleet.close();
});
