import { createPeerSelector, createRandom, createServerPool, Repeatability, ServingState } from "@cassiapick/core";
import { expect } from "chai";
import { createServer, Socket } from "node:net";
import type { AddressInfo, Server } from "node:net";
import { ReplyKind } from "../lib/caller-request.js";
import type { RequestRun } from "../lib/caller-request.js";
import { connectTcp } from "../lib/http-call.js";
import type { Connect } from "../lib/http-call.js";
import { runRequest } from "../lib/request-runner.js";
import {
    createLoneHost,
    createTestAdmission,
    createTestRetryBudget,
    intactPath,
    testClock,
    testHeaderNames,
    testServer,
} from "./test-gateway.js";

const timeoutMs = 5000;
const refusal = { kind: ReplyKind.Refused, retryAfterMs: 20, reason: "the host is stopping" } as const;
const okAnswer = "HTTP/1.1 200 OK\r\nx-signature: s\r\nContent-Length: 0\r\n\r\n";
const declinedAnswer = "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n";

/** Guards against requests that a stopping host sends to a server so late that it must cut them off. */
describe("a request that may not be sent any more", () => {
    const servers: Server[] = [];
    /** Requests that servers have received, and how to answer them. */
    let received: ((answer: string) => void)[] = [];
    let notifyReceived: () => void = () => undefined;
    afterEach(() => {
        servers.splice(0).forEach(server => server.close());
        received = [];
    });

    const listen = (): Promise<string> =>
        new Promise(resolve => {
            const server = createServer(socket => {
                socket.on("error", () => undefined).once("data", () => {
                    received.push(answer => socket.end(answer));
                    notifyReceived();
                }).resume();
            });
            servers.push(server);
            server.listen(0, "127.0.0.1", () => resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`));
        });

    const start = async (repeatability: Repeatability, connectServer: Connect): Promise<RequestRun> => {
        const random = createRandom(1);
        const locality = { availabilityZone: "z1", regions: { z1: "r1" } };
        const pool = createServerPool({ locality, random, wallClock: Date.now });
        for (const number of [1, 2]) {
            pool.update([{ ...testServer, number, serverId: `s${number}`, address: await listen(), state: ServingState.Ready }]);
        }
        const arrivedAt = testClock();
        return runRequest({
            requestId: "r1",
            requestKey: "k1",
            callerAddress: "127.0.0.1",
            route: {
                name: "route",
                hostName: "a.example",
                prefix: "/",
                repeatability,
                timeoutMs,
                latencyObjectiveMs: 1000,
                priority: 0,
                maxServers: 2,
                destinations: [{ service: testServer.service, weight: 1 }],
            },
            configNumber: 1,
            priority: 0,
            method: "GET",
            target: "/",
            headers: [],
            body: Buffer.alloc(0),
            arrivedAt,
            deadlineAt: arrivedAt + timeoutMs,
        }, {
            pool,
            path: intactPath,
            headerNames: testHeaderNames,
            connectServer,
            clock: testClock,
            ...createLoneHost(),
            admission: createTestAdmission(pool),
            retryBudget: createTestRetryBudget(),
            peers: createPeerSelector(locality, random),
            random,
        });
    };

    const untilReceived = async (): Promise<void> => {
        if (received.length === 0) {
            await new Promise<void>(resolve => {
                notifyReceived = resolve;
            });
        }
    };

    it("is refused while its connection is not established", async () => {
        const run = await start(Repeatability.AtMostOnce, () => new Socket());
        run.refuseUnsent(refusal);
        expect(await run.reply).to.deep.equal(refusal);
    });

    const sent: { name: string; repeatability: Repeatability; answers: string[]; kind: ReplyKind; sends: number; }[] = [
        {
            name: "is answered if a server is at work on it",
            repeatability: Repeatability.AtMostOnce,
            answers: [okAnswer],
            kind: ReplyKind.Answer,
            sends: 1,
        },
        {
            name: "is refused, not sent again, when its server has declined it",
            repeatability: Repeatability.AtMostOnce,
            answers: [declinedAnswer],
            kind: ReplyKind.Refused,
            sends: 1,
        },
        {
            name: "is sent again if it may have run and may be repeated",
            repeatability: Repeatability.Repeatable,
            answers: ["no answer", okAnswer],
            kind: ReplyKind.Answer,
            sends: 2,
        },
    ];
    for (const { name, repeatability, answers, kind, sends } of sent) {
        it(name, async () => {
            const run = await start(repeatability, connectTcp);
            await untilReceived();
            run.refuseUnsent(refusal);
            let sendCount = 0;
            for (const answer of answers) {
                await untilReceived();
                sendCount += 1;
                received.shift()!(answer);
            }
            expect((await run.reply).kind).to.equal(kind);
            expect(sendCount + received.length).to.equal(sends);
        });
    }
});
