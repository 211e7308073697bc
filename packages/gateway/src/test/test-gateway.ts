/** What several tests of the gateway use. */
import { ServingState } from "@cassiapick/core";
import type { FleetServer, PathMonitor } from "@cassiapick/core";

export const testHeaderNames = {
    requestId: "x-request",
    deadlineMs: "x-deadline",
    expectedServer: "x-expected",
    notRun: "x-not-run",
    signature: "x-signature",
    serverLimit: "x-limit",
    serverLeaving: "x-leaving",
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
