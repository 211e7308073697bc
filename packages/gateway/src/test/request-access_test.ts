import { createPeerSelector, createRandom, createServerPool, Repeatability } from "@cassiapick/core";
import { expect } from "chai";
import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import type { AddressInfo } from "node:net";
import { ReplyKind } from "../lib/caller-request.js";
import type { AccessLossReply } from "../lib/caller-request.js";
import { connectTcp } from "../lib/http-call.js";
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

const timeoutMs = 2000;
const withdrawn: AccessLossReply = { kind: ReplyKind.Unauthorized, reason: "the key of the request was withdrawn" };
const unknown: AccessLossReply = { kind: ReplyKind.Refused, retryAfterMs: 100, reason: "the view is old" };

const decline: RequestListener = (req, res) =>
    void res.writeHead(503, {
        [testHeaderNames.requestId]: req.headers[testHeaderNames.requestId],
        [testHeaderNames.notRun]: "1",
    }).end();
const reset: RequestListener = req => void req.socket.resetAndDestroy();

// Guards against a withdrawn key that goes on for requests that wait for a server or for another attempt.
describe("a request whose key is withdrawn", () => {
    let listener: RequestListener;
    let requestCount = 0;
    let servers: Server[] = [];
    let addresses: string[] = [];

    beforeEach(async () => {
        requestCount = 0;
        servers = [1, 2].map(() =>
            createServer((req, res) => {
                requestCount += 1;
                listener(req, res);
            })
        );
        await Promise.all(servers.map(server => new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve))));
        addresses = servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`);
    });
    afterEach(() =>
        servers.forEach(server => {
            server.close();
            server.closeAllConnections();
        })
    );

    interface Case {
        name: string;
        listener: RequestListener;
        /** Number of requests that servers have received when the key is withdrawn. */
        after: number;
        loss: AccessLossReply;
        kind: ReplyKind;
    }
    const cases: Case[] = [
        { name: "before it is sent has not run", listener: decline, after: 0, loss: withdrawn, kind: ReplyKind.Unauthorized },
        { name: "that can't be checked before it is sent", listener: decline, after: 0, loss: unknown, kind: ReplyKind.Refused },
        {
            name: "after a server declined it has not run",
            listener: decline,
            after: 1,
            loss: withdrawn,
            kind: ReplyKind.Unauthorized,
        },
        { name: "after it may have run has failed", listener: reset, after: 1, loss: withdrawn, kind: ReplyKind.Failed },
    ];
    for (const { name, after, loss, kind, ...rest } of cases) {
        it(`${name}: ${kind}, with ${after} sends`, async () => {
            ({ listener } = rest);
            const random = createRandom(1);
            const locality = { availabilityZone: "z1", regions: { z1: "r1" } };
            const pool = createServerPool({ locality, random, wallClock: Date.now });
            pool.update(addresses.map((address, index) => ({ ...testServer, number: index, serverId: `s${index}`, address })));
            const arrivedAt = testClock();
            const run = runRequest({
                requestId: "r1",
                requestKey: "k1",
                callerAddress: "127.0.0.1",
                route: {
                    name: "route",
                    hostName: "a.example",
                    prefix: "/",
                    repeatability: Repeatability.Repeatable,
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
                headers: ["Host", "a.example", testHeaderNames.requestId, "r1"],
                body: Buffer.alloc(0),
                arrivedAt,
                deadlineAt: arrivedAt + timeoutMs,
                accessLoss: () => requestCount >= after ? loss : undefined,
            }, {
                pool,
                path: intactPath,
                headerNames: testHeaderNames,
                connectServer: connectTcp,
                clock: testClock,
                ...createLoneHost(),
                admission: createTestAdmission(pool),
                retryBudget: createTestRetryBudget(),
                peers: createPeerSelector(locality, random),
                random,
            });
            expect((await run.reply).kind).to.equal(kind);
            expect(requestCount).to.equal(after);
        });
    }
});
