import { createByteBudget, Repeatability } from "@cassiapick/core";
import type { ByteBudget } from "@cassiapick/core";
import { createEventLog, LogFormat } from "@cassiapick/operations";
import { expect } from "chai";
import { request } from "node:http";
import { ReplyKind } from "../lib/caller-request.js";
import type { CallerRequest, Reply } from "../lib/caller-request.js";
import { createCallerServer } from "../lib/caller-server.js";
import type { CallerServer } from "../lib/caller-server.js";
import { createGatewayMetrics } from "../lib/gateway-metrics.js";
import { createTestAnswerWriter, testClock, testHeaderNames } from "./test-gateway.js";

const maxHeldBytes = 100_000;
const maxBodyBytes = 300_000;
const route = {
    name: "route",
    hostName: "a.example",
    prefix: "/",
    repeatability: Repeatability.AtMostOnce,
    timeoutMs: 5000,
    latencyObjectiveMs: 5000,
    priority: 0,
    maxServers: 1,
    destinations: [],
};

/** Guards against long request bodies that take a host over the memory of its machine, and end all requests that it holds. */
describe("request bodies that arrive at the same time", () => {
    let server: CallerServer;
    let budget: ByteBudget;
    let port = 0;
    let ran: CallerRequest[] = [];
    let answerAll: () => void = () => undefined;
    beforeEach(async () => {
        budget = createByteBudget(maxHeldBytes);
        ran = [];
        const allAnswered = new Promise<void>(resolve => {
            answerAll = resolve;
        });
        const answered: Reply = {
            kind: ReplyKind.Answer,
            answer: { status: 200, headers: [], body: Buffer.from("done") },
            attemptCount: 1,
            detail: "",
        };
        server = createCallerServer({
            headerNames: testHeaderNames,
            answerWriter: createTestAnswerWriter(),
            configInForce: {
                route: () => ({ kind: "routed", route, configNumber: 1 }),
                waitForRoute: () => Promise.resolve({ kind: "routed", route, configNumber: 1 }),
                accessLoss: () => undefined,
            },
            run: req => {
                ran.push(req);
                return { reply: allAnswered.then(() => answered), cancel: () => undefined, refuseUnsent: () => undefined };
            },
            clock: testClock,
            log: createEventLog({ program: "test", hostId: "h", format: LogFormat.Json, write: () => undefined }),
            metrics: createGatewayMetrics(),
            budget,
        });
        server.setLimits({ maxHeaderBytes: 16_384, maxBodyBytes, headerTimeoutMs: 3000, idleTimeoutMs: 3000 });
        port = await server.listen("127.0.0.1", 0);
    });
    afterEach(() => {
        server.stopAccepting();
        server.close();
    });

    const send = (length: number, isChunked: boolean): Promise<number> =>
        new Promise(resolve => {
            const req = request({
                port,
                method: "POST",
                headers: isChunked ? { "Transfer-Encoding": "chunked" } : { "Content-Length": length },
            });
            req.on("response", res => res.resume().on("end", () => resolve(res.statusCode ?? 0)));
            // A host that does not read a body may close its connection.
            req.on("error", () => resolve(0));
            req.end(Buffer.alloc(length, "x"));
        });

    const cases: { name: string; lengths: number[]; isChunked?: boolean; served: number; held: number; }[] = [
        { name: "one that fits", lengths: [60_000], served: 1, held: 60_000 },
        { name: "one beyond what the host may hold", lengths: [250_000], served: 1, held: 250_000 },
        { name: "four, of which one fits", lengths: [60_000, 60_000, 60_000, 60_000], served: 1, held: 60_000 },
        {
            name: "four in chunks, of which one fits",
            lengths: Array<number>(4).fill(40_000),
            isChunked: true,
            served: 1,
            held: 80_000,
        },
        { name: "short ones beside a long one", lengths: [99_000, 2000, 2000], served: 3, held: 103_000 },
    ];
    for (const { name, lengths, isChunked = false, served, held } of cases) {
        it(`are read as far as they find room: ${name}`, async () => {
            const statuses: number[] = [];
            const sent = lengths.map(async length => {
                statuses.push(await send(length, isChunked));
            });
            while (ran.length + statuses.length < lengths.length) {
                await new Promise(resolve => setTimeout(resolve, 5));
            }
            expect([ran.length, budget.held()]).to.deep.equal([served, held]);
            expect(statuses.every(status => status === 503 || status === 0)).to.equal(true);
            answerAll();
            await Promise.all(sent);
            expect(statuses.filter(status => status === 200).length).to.equal(served);
            expect(ran.map(({ body }) => body.every(byte => byte === 120))).to.deep.equal(Array(served).fill(true));
            while (budget.held() > 0) {
                await new Promise(resolve => setTimeout(resolve, 5));
            }
            expect(await send(60_000, isChunked)).to.equal(200);
        });
    }
});
