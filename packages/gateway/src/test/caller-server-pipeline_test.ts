/** Pattern: a caller sends further requests before the first is answered, and its connection closes. */
import { createByteBudget, Repeatability } from "@cassiapick/core";
import { createEventLog, LogFormat } from "@cassiapick/operations";
import { expect } from "chai";
import { connect } from "node:net";
import { createAnswerWriter } from "../lib/answer-writer.js";
import { ReplyKind } from "../lib/caller-request.js";
import type { Reply } from "../lib/caller-request.js";
import { createCallerServer } from "../lib/caller-server.js";
import { createGatewayMetrics } from "../lib/gateway-metrics.js";
import { testClock, testHeaderNames } from "./test-gateway.js";

const route = {
    name: "route",
    hostName: "a.example",
    prefix: "/",
    repeatability: Repeatability.Repeatable,
    timeoutMs: 5000,
    latencyObjectiveMs: 5000,
    priority: 0,
    hasLargeAnswers: true,
    maxServers: 1,
    destinations: [],
};
const silentLog = createEventLog({ program: "test", hostId: "h", format: LogFormat.Json, write: () => undefined });
const body = Buffer.alloc(540_000, "a");
const answered: Reply = {
    kind: ReplyKind.Answer,
    answer: { status: 200, headers: [], body },
    serverId: "s1",
    attemptCount: 1,
    detail: "",
};

const waitUntil = async (isTrue: () => boolean): Promise<void> => {
    while (!isTrue()) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
};

describe("requests behind one that is not answered", () => {
    for (const isAnsweredBefore of [true, false]) {
        it(`hold nothing once their caller is gone, if answered ${isAnsweredBefore ? "before" : "after"} that`, async () => {
            const budget = createByteBudget(Infinity);
            const answerWriter = createAnswerWriter({ budget, clock: testClock });
            const replies: ((reply: Reply) => void)[] = [];
            let cancelCount = 0;
            const server = createCallerServer({
                headerNames: testHeaderNames,
                answerWriter,
                configInForce: {
                    route: () => ({ kind: "routed", route, configNumber: 1 }),
                    waitForRoute: () => Promise.resolve({ kind: "routed", route, configNumber: 1 }),
                    accessLoss: () => undefined,
                },
                run: () => ({
                    reply: new Promise<Reply>(resolve => replies.push(resolve)),
                    cancel: () => {
                        cancelCount += 1;
                    },
                    refuseUnsent: () => undefined,
                }),
                clock: testClock,
                log: silentLog,
                metrics: createGatewayMetrics(),
            });
            const port = await server.listen("127.0.0.1", 0);
            const socket = connect(port, "127.0.0.1");
            const request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";
            socket.write(request + request);
            await waitUntil(() => replies.length === 2);
            if (isAnsweredBefore) {
                replies[1]!(answered);
                await waitUntil(() => budget.held() > 0);
            }
            socket.destroy();
            await waitUntil(() => cancelCount > 0);
            replies[1]!(answered);
            await new Promise(resolve => setTimeout(resolve, 50));
            expect([budget.held(), answerWriter.openLargeAnswers(), server.openRequestCount()]).to.deep.equal([0, 0, 0]);
            server.stopAccepting();
            server.close();
        });
    }
});
