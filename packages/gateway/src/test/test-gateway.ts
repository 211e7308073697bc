/** What several tests of the gateway use. */
import {
    createByteBudget,
    createHostRetryBudget,
    createPeerSelector,
    createRandom,
    createRequestQuarantine,
    createRouteLatencyTracker,
    createServerPool,
    ServingState,
} from "@cassiapick/core";
import type { FleetServer, HostRetryBudget, PathMonitor, Repeatability, RequestQuarantine, ServerPool } from "@cassiapick/core";
import { createAdmissionQueue } from "../lib/admission-queue.js";
import type { AdmissionQueue } from "../lib/admission-queue.js";
import { createAnswerWriter } from "../lib/answer-writer.js";
import type { AnswerWriter } from "../lib/answer-writer.js";
import type { RequestRun } from "../lib/caller-request.js";
import { connectTcp } from "../lib/http-call.js";
import type { Connect } from "../lib/http-call.js";
import { runRequest } from "../lib/request-runner.js";
import type { ServerEndCheck } from "../lib/server-end-check.js";

export const testHeaderNames = {
    requestId: "x-request",
    deadlineMs: "x-deadline",
    expectedServer: "x-expected",
    notRun: "x-not-run",
    signature: "x-signature",
    serverLimit: "x-limit",
    serverLeaving: "x-leaving",
    key: "x-key",
    workspace: "x-workspace",
};

export const testClock = (): number => performance.now();

/** The path of a host that reaches all servers. */
export const intactPath: PathMonitor = {
    connected: () => undefined,
    notConnected: () => undefined,
    check: () => undefined,
    tick: () => undefined,
    isServiceLost: () => false,
    isHostLost: () => false,
    isReachable: () => true,
};

/** The quarantine of a host that is alone. */
const createTestQuarantine = (): RequestQuarantine =>
    createRequestQuarantine({
        random: createRandom(1),
        serverCount: () => 1,
        send: () => undefined,
        isConnected: () => false,
        onQuarantineChanged: () => undefined,
    });

/** Counts nothing. */
export const testMetrics = { increment: () => undefined, observe: () => undefined };

/** The check of a host whose servers never end. */
const noServerEnds: ServerEndCheck = { hasEnded: () => Promise.resolve(false) };

/** Dependencies of attempts on a host that is alone and reports nothing. */
export const createLoneHost = () => ({
    latencies: createRouteLatencyTracker(),
    metrics: testMetrics,
    quarantine: createTestQuarantine(),
    serverEndCheck: noServerEnds,
    log: { log: () => undefined },
    onServerFailed: () => undefined,
    onLimitAnswer: () => undefined,
    viewAgeMs: () => 0,
});

/** The admission of a host that is alone. */
export const createTestAdmission = (pool: Pick<ServerPool, "room">): AdmissionQueue =>
    createAdmissionQueue({
        pool,
        random: createRandom(1),
        clock: testClock,
        hostCount: () => 1,
        log: { log: () => undefined },
        metrics: testMetrics,
    });

/** The retry budget of a host that is alone and has run for a while. */
export const createTestRetryBudget = (): HostRetryBudget => {
    const bound = { ratio: 0.2, reserve: 10, windowMs: 10_000 };
    const budget = createHostRetryBudget(bound, testClock() - bound.windowMs, createRandom(1));
    budget.setHostCount(1);
    return budget;
};

/** The only server of service "quotes", without an address. */
export const testServer: FleetServer = {
    number: 1,
    serverId: "s1",
    service: "quotes",
    address: "",
    availabilityZone: "z1",
    slots: 3,
    state: ServingState.Ready,
    bornAt: 0,
    warmAt: 0,
    silent: false,
    keeper: "",
    revision: 1,
};

/** Options of {@link runTestRequest}. */
export interface TestRequest {
    /** "host:port" of each server of the service. */
    addresses: readonly string[];
    repeatability: Repeatability;
    timeoutMs: number;
    connectServer?: Connect;
}

/** Runs a request of a host that is alone. */
export const runTestRequest = ({ addresses, repeatability, timeoutMs, connectServer = connectTcp }: TestRequest): RequestRun => {
    const random = createRandom(1);
    const locality = { availabilityZone: "z1", regions: { z1: "r1" } };
    const pool = createServerPool({ locality, random, wallClock: Date.now });
    pool.update(addresses.map((address, index) => ({
        ...testServer,
        address,
        number: index + 1,
        serverId: `s${index + 1}`,
        revision: index + 1,
    })));
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

/** Writes the answers of a host that has memory for all of them. */
export const createTestAnswerWriter = (): AnswerWriter =>
    createAnswerWriter({ budget: createByteBudget(Infinity), clock: testClock });
