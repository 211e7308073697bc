import { Repeatability } from "@cassiapick/core";
import type { GatewayRoute } from "@cassiapick/core";
import { createEventLog, keyDigestOf, LogFormat } from "@cassiapick/operations";
import { expect } from "chai";
import { connect } from "node:net";
import { ReplyKind } from "../lib/caller-request.js";
import type { CallerRequest } from "../lib/caller-request.js";
import { createCallerServer } from "../lib/caller-server.js";
import type { CallerServer } from "../lib/caller-server.js";
import { createConfigInForce } from "../lib/config-in-force.js";
import type { ConfigInForce } from "../lib/config-in-force.js";
import { createGatewayMetrics } from "../lib/gateway-metrics.js";
import type { GatewayMetrics } from "../lib/gateway-metrics.js";
import { createTestAnswerWriter, testClock, testHeaderNames } from "./test-gateway.js";

const secretKey = "8m82thhkmgjqnirth5mg";
const stolenKey = "jy5rcpihhacruddedev3";
const { key: keyHeader, workspace: workspaceHeader, requestId } = testHeaderNames;

const route = (name: string, change: Partial<GatewayRoute> = {}): GatewayRoute => ({
    name,
    hostName: "a.example",
    prefix: `/${name}/`,
    repeatability: Repeatability.AtMostOnce,
    timeoutMs: 5000,
    latencyObjectiveMs: 500,
    priority: 3,
    maxServers: 2,
    destinations: [{ service: "quotes", weight: 1 }],
    ...change,
});

const valuesOf = (headers: readonly string[], name: string): string[] =>
    headers.filter((_, index) => index % 2 === 1 && headers[index - 1]!.toLowerCase() === name);

describe("keys of callers", () => {
    let server: CallerServer;
    let configInForce: ConfigInForce;
    let metrics: GatewayMetrics;
    let port = 0;
    let ran: CallerRequest[] = [];
    let lines: string[] = [];

    const publish = (number: number, hasWorkspaces: boolean): void => {
        configInForce.apply({
            number,
            routes: [route("x"), route("open", { isPublic: true })],
            services: [],
            limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
            ...(hasWorkspaces
                ? {
                    workspaces: [
                        { name: "one", keyDigests: [keyDigestOf(secretKey)], priority: 1, burst: 0 },
                        { name: "two", keyDigests: [keyDigestOf("ñandú"), keyDigestOf("k3")], burst: 0 },
                        { name: "Łódź Choir", keyDigests: [keyDigestOf("k4")], burst: 0 },
                    ],
                }
                : {}),
        });
    };

    /** Sends a request as bytes, so that its headers are not checked or changed. */
    const send = (target: string, headers: readonly string[]): Promise<string> =>
        new Promise((resolve, reject) => {
            const socket = connect(port, "127.0.0.1");
            let text = "";
            socket.on("data", chunk => {
                text += chunk.toString("latin1");
            });
            socket.on("error", reject);
            socket.on("close", () => resolve(text));
            const lineList = [`GET ${target} HTTP/1.1`, "Host: a.example", `${requestId}: r1`, "Connection: close", ...headers];
            socket.end(`${lineList.join("\r\n")}\r\n\r\n`);
        });

    beforeEach(async () => {
        ran = [];
        lines = [];
        metrics = createGatewayMetrics();
        // A view that is confirmed at each look proves at once that a key is missing.
        configInForce = createConfigInForce({
            applyWithinMs: 2500,
            revokeWithinMs: 5000,
            refusesOldViews: false,
            viewAgeMs: () => 0,
            clock: testClock,
        });
        server = createCallerServer({
            headerNames: testHeaderNames,
            answerWriter: createTestAnswerWriter(),
            configInForce,
            run: req => {
                ran.push(req);
                const answer = { status: 200, headers: [], body: Buffer.from("done") };
                return {
                    reply: Promise.resolve({ kind: ReplyKind.Answer, answer, attemptCount: 1, detail: "" }),
                    cancel: () => undefined,
                    refuseUnsent: () => undefined,
                };
            },
            clock: testClock,
            log: createEventLog({
                program: "test",
                hostId: "h",
                format: LogFormat.Json,
                alwaysLogInfo: true,
                write: line => lines.push(line),
            }),
            metrics,
        });
        port = await server.listen("127.0.0.1", 0);
    });
    afterEach(() => {
        server.stopAccepting();
        server.close();
    });

    interface Case {
        name: string;
        target?: string;
        headers: string[];
        hasWorkspaces?: boolean;
        status: number;
        /** What servers get to read of a workspace. */
        workspaces?: string[];
        priority?: number;
    }
    const cases: Case[] = [
        { name: "a key", headers: [`${keyHeader}: ${secretKey}`], status: 200, workspaces: ["one"], priority: 1 },
        {
            name: "a key whose workspace has no priority",
            headers: [`${keyHeader}: k3`],
            status: 200,
            workspaces: ["two"],
            priority: 3,
        },
        {
            name: "a key that is no ASCII, in UTF-8",
            headers: [`${keyHeader}: ñandú`],
            status: 200,
            workspaces: ["two"],
            priority: 3,
        },
        {
            name: "a key whose workspace has a name outside Latin-1",
            headers: [`${keyHeader}: k4`],
            status: 200,
            workspaces: ["Łódź Choir"],
        },
        {
            name: "a key under a name in capitals",
            headers: [`${keyHeader.toUpperCase()}: ${secretKey}`],
            status: 200,
            workspaces: ["one"],
        },
        { name: "no key", headers: [], status: 401 },
        { name: "an empty key", headers: [`${keyHeader}:`], status: 401 },
        { name: "an unknown key", headers: [`${keyHeader}: ${stolenKey}`], status: 401 },
        { name: "the beginning of a key", headers: [`${keyHeader}: ${secretKey.slice(0, -1)}`], status: 401 },
        { name: "a key and more", headers: [`${keyHeader}: ${secretKey}x`], status: 401 },
        { name: "the digest of a key", headers: [`${keyHeader}: ${keyDigestOf(secretKey)}`], status: 401 },
        {
            name: "a known and an unknown key",
            headers: [`${keyHeader}: ${secretKey}`, `${keyHeader}: ${stolenKey}`],
            status: 401,
        },
        {
            name: "a workspace that the caller forged",
            headers: [`${keyHeader}: ${secretKey}`, `${workspaceHeader}: two`, `${workspaceHeader.toUpperCase()}: two`],
            status: 200,
            workspaces: ["one"],
        },
        { name: "a forged workspace without a key", headers: [`${workspaceHeader}: one`], status: 401 },
        {
            name: "a forged workspace on a public route",
            target: "/open/",
            headers: [`${workspaceHeader}: one`],
            status: 200,
            workspaces: [],
        },
        {
            name: "a key on a public route",
            target: "/open/",
            headers: [`${keyHeader}: ${secretKey}`],
            status: 200,
            workspaces: ["one"],
        },
        {
            name: "an unknown key on a public route",
            target: "/open/",
            headers: [`${keyHeader}: ${stolenKey}`],
            status: 200,
            workspaces: [],
        },
        {
            name: "a forged workspace and a key while no keys are needed",
            headers: [`${workspaceHeader}: one`, `${keyHeader}: ${secretKey}`],
            hasWorkspaces: false,
            status: 200,
            workspaces: [],
        },
        {
            name: "headers that the caller declares as those of one connection",
            headers: [
                `Connection: ${workspaceHeader}, x-own`,
                `Connection: ${keyHeader}`,
                "x-own: 1",
                `${keyHeader}: ${secretKey}`,
                `${workspaceHeader}: two`,
            ],
            status: 200,
            workspaces: ["one"],
        },
    ];
    for (const { name, target = "/x/1", headers, hasWorkspaces = true, status, workspaces, priority } of cases) {
        it(`answer ${status} to ${name}`, async () => {
            publish(1, hasWorkspaces);
            const answer = await send(target, headers);
            expect(answer).to.match(new RegExp(`^HTTP/1.1 ${status} `, "u"));
            // Each character of a header is sent as one byte.
            const sentWorkspaces = ran.map(req =>
                valuesOf(req.headers, workspaceHeader).map(value => Buffer.from(value, "latin1").toString("utf8"))
            );
            expect(sentWorkspaces).to.deep.equal(
                workspaces === undefined ? [] : [workspaces],
            );
            expect(ran.flatMap(req => valuesOf(req.headers, keyHeader))).to.deep.equal([]);
            expect(ran.flatMap(req => valuesOf(req.headers, "x-own"))).to.deep.equal([]);
            expect(ran[0]?.workspace).to.equal(workspaces?.[0]);
            if (priority !== undefined) {
                expect(ran[0]?.priority).to.equal(priority);
            }
            if (status === 401) {
                expect(answer).to.contain(`${requestId}: r1`);
            }
            for (const text of [answer, lines.join(""), metrics.render({}), JSON.stringify(ran)]) {
                expect(text).not.to.contain(secretKey);
                expect(text).not.to.contain(stolenKey);
            }
        });
    }

    it("are checked again before a request that waits is sent", async () => {
        publish(1, true);
        await send("/x/1", [`${keyHeader}: ${secretKey}`]);
        expect(ran[0]?.accessLoss?.()).to.equal(undefined);
        configInForce.apply({ ...configInForce.current()!, number: 2, workspaces: [] });
        expect(ran[0]?.accessLoss?.()?.kind).to.equal(ReplyKind.Unauthorized);
    });
});
