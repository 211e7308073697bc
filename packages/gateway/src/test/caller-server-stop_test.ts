import { Repeatability } from "@cassiapick/core";
import { createEventLog, LogFormat } from "@cassiapick/operations";
import { expect } from "chai";
import { Agent, request } from "node:http";
import type { IncomingHttpHeaders } from "node:http";
import { ReplyKind } from "../lib/caller-request.js";
import type { Reply } from "../lib/caller-request.js";
import { createCallerServer } from "../lib/caller-server.js";
import type { CallerServer } from "../lib/caller-server.js";
import { createGatewayMetrics } from "../lib/gateway-metrics.js";
import { stopGracefully } from "../lib/stop-gracefully.js";
import { stopSchedule } from "../lib/stop-schedule.js";
import { createTestAnswerWriter, testClock, testHeaderNames } from "./test-gateway.js";

const route = {
    name: "route",
    hostName: "a.example",
    prefix: "/",
    repeatability: Repeatability.AtMostOnce,
    timeoutMs: 1000,
    latencyObjectiveMs: 500,
    priority: 0,
    maxServers: 2,
    destinations: [{ service: "quotes", weight: 1 }],
};

interface Answer {
    status: number;
    headers: IncomingHttpHeaders;
}

// Guards against requests that a stopping host takes so late that it can't finish them.
describe("a stopping entry host", () => {
    let server: CallerServer;
    let agent: Agent;
    let port = 0;
    let runs: ((reply: Reply) => void)[] = [];
    let refuseUnsent: (refusal: Reply) => void = () => undefined;
    const answerFirst = (): void =>
        runs.shift()?.({
            kind: ReplyKind.Answer,
            answer: { status: 200, headers: [], body: Buffer.from("done") },
            attemptCount: 1,
            detail: "",
        });

    const send = (): Promise<Answer> =>
        new Promise((resolve, reject) => {
            request({ port, host: "127.0.0.1", agent, method: "POST", path: "/" }, res => {
                res.resume();
                res.on("end", () => resolve({ status: res.statusCode ?? 0, headers: res.headers }));
            }).on("error", reject).end();
        });

    let notifyRun: () => void = () => undefined;
    const untilRunning = (): Promise<void> =>
        new Promise(resolve => {
            notifyRun = resolve;
        });

    beforeEach(async () => {
        runs = [];
        refuseUnsent = () => undefined;
        agent = new Agent({ keepAlive: true, maxSockets: 1 });
        server = createCallerServer({
            headerNames: testHeaderNames,
            answerWriter: createTestAnswerWriter(),
            configInForce: {
                route: () => ({ kind: "routed", route, configNumber: 1 }),
                waitForRoute: () => Promise.resolve({ kind: "routed", route, configNumber: 1 }),
                accessLoss: () => undefined,
            },
            run: () => {
                const reply = new Promise<Reply>(resolve => runs.push(resolve));
                notifyRun();
                return { reply, cancel: () => undefined, refuseUnsent: refusal => refuseUnsent(refusal) };
            },
            clock: testClock,
            log: createEventLog({ program: "test", hostId: "h", format: LogFormat.Json, write: () => undefined }),
            metrics: createGatewayMetrics(),
        });
        port = await server.listen("127.0.0.1", 0);
    });
    afterEach(() => {
        agent.destroy();
        server.stopAccepting();
        server.close();
    });

    it("serves what arrives while it still accepts requests", async () => {
        server.startDraining();
        const answer = send();
        await untilRunning();
        answerFirst();
        expect((await answer).status).to.equal(200);
    });

    it("finishes what it has accepted, and refuses a later request on the same connection", async () => {
        const first = send();
        await untilRunning();
        const second = send();
        server.stopAccepting();
        answerFirst();
        expect((await first).status).to.equal(200);
        const refused = await second;
        expect(refused.status).to.equal(503);
        expect(Number(refused.headers["retry-after"])).to.be.below(0.1);
        expect(runs).to.have.length(0);
    });

    // Guards against requests that wait for a server until the end of the stop, and are then cut off without an answer.
    it("refuses a request that was sent to no server, before it closes", async () => {
        refuseUnsent = refusal => runs.shift()?.(refusal);
        const answer = send();
        await untilRunning();
        await stopGracefully({
            stopWithinMs: 700,
            clock: testClock,
            openRequestCount: () => server.openRequestCount(),
            startDraining: () => server.startDraining(),
            stopAccepting: () => server.stopAccepting(),
            refuseUnsent: () => server.refuseUnsent(),
            close: () => server.close(),
        });
        const refused = await answer;
        expect(refused.status).to.equal(503);
        expect(Number(refused.headers["retry-after"])).to.be.below(0.1);
    });

    const schedules = [
        { stopWithinMs: 6000, acceptUntilMs: 2800, sendUntilMs: 3880, finishUntilMs: 5500 },
        { stopWithinMs: 10_000, acceptUntilMs: 2800, sendUntilMs: 5480, finishUntilMs: 9500 },
        { stopWithinMs: 2000, acceptUntilMs: 1200, sendUntilMs: 1320, finishUntilMs: 1500 },
    ];
    for (const { stopWithinMs, ...expected } of schedules) {
        it(`accepts requests for ${expected.acceptUntilMs} ms of a stop within ${stopWithinMs} ms`, () => {
            expect(stopSchedule(stopWithinMs)).to.deep.equal(expected);
        });
    }
});
