/** Interfaces of the server pool of an entry host, and the reports that entry hosts send each other about servers. */
import type { ServiceRoom } from "../admission/admission-request.js";
import type { FleetServer } from "../fleet/facts.js";
import type { Random } from "../random.js";
import type { ServerObservation } from "./failure-estimate.js";
import type { Repeatability } from "./gateway-config.js";
import type { SelectionWeights } from "./selection-weights.js";
import type { Survival } from "./wait-evidence.js";

/** Location of an entry host. */
export interface PoolLocality {
    availabilityZone: string;
    /** Region of each availability zone of the fleet. */
    regions: Readonly<Record<string, string>>;
}

/** A selected server, with the data behind the selection. */
export interface ServerChoice {
    server: FleetServer;
    /** Estimated probability that the server is unhealthy, from 0 to 1. */
    failureProbability: number;
    /** Requests known to be in flight on the server. */
    load: number;
    /** Age of the latest observation of the server, in milliseconds; `undefined` without one. */
    observationAgeMs?: number;
}

/** A host's report about one server: outcomes since the last report, and the host's requests in flight. */
export interface ServerReport {
    /** Number of the server's record. */
    number: number;
    successes: number;
    failures: number;
    inFlight: number;
    /** Evidence of the requests in flight that the server is unhealthy, in steps; replaces that of the host's last report. */
    waitLevel?: number;
    /** Requests whose wait has become a hang, less those that were answered after all. */
    hangs?: number;
}

/** Options of {@link createServerPool}. */
export interface ServerPoolCfg {
    locality: PoolLocality;
    random: Random;
    /** Wall-clock time in milliseconds since 1970, to detect slow starts. */
    wallClock: () => number;
    weights?: SelectionWeights;
    /** Limits that servers named; without them, every server takes requests. */
    limits?: ServerLimitGate;
    /** Whether this host can connect to a server; without it, every server can be reached. */
    isReachable?: (server: FleetServer) => boolean;
}

/** Decides whether a limited server may get a request of this host. */
export interface ServerLimitGate {
    isLimited(number: number): boolean;
    maySend(number: number, now: number): boolean;
    requestStarted(number: number, now: number): void;
}

/** The servers known to one entry host. Server numbers are those of the servers' records. */
export interface ServerPool {
    /** Applies changed records, oldest first. */
    update(records: readonly FleetServer[]): void;
    /** Returns the best server for a request to `service` that is not in `excluded`; `undefined` if there is none. */
    choose(service: string, repeatability: Repeatability, excluded: ReadonlySet<number>, now: number): ServerChoice | undefined;
    /** Returns the servers of `service`, or of all services, that this host may send requests to. */
    readyServers(service: string | undefined, now: number): FleetServer[];
    /** Whether the servers of `service` that take requests of this host are known to have free slots in total. */
    hasFreeSlots(service: string, now: number): boolean;
    /** Returns what is known of the room at the servers of `service` that may be sent requests and likely answer them. */
    room(service: string, now: number): ServiceRoom;
    /** Records a request; with `survival`, a long wait for its answer is evidence against the server. */
    requestStarted(number: number, now: number, survival?: Survival): void;
    /**
     * Records the end of a request that was started at `startedAt`; `observation` is the evidence that its outcome gives about the
     * server, if any.
     */
    requestEnded(number: number, observation: ServerObservation | undefined, now: number, startedAt?: number): void;
    /** Records that the server accepted no connection; other hosts learn of it if `isShared`. */
    recordConnectFailure(number: number, isShared: boolean, now: number): void;
    /** Records that the server asked this host for no requests until the given time. */
    recordRest(number: number, until: number): void;
    /** Records that the server has stated in an answer that it is leaving. */
    recordLeaving(number: number): void;
    /** Returns the numbers of the servers of `service` that this host knows to be leaving. */
    leavingServers(service: string): number[];
    /** Records that another server answered at the server's address. */
    markReplaced(number: number): void;
    /** Applies a report of another host of the same availability zone. */
    applyReport(hostKey: string, report: ServerReport, now: number): void;
    /** Applies failures and hangs from hosts of other availability zones, which do not report their successes and load. */
    applyRemoteFailures(report: ServerReport, now: number): void;
    /** Removes the load that a host has reported. */
    removeHostLoad(hostKey: string): void;
    /** Removes the load that all other hosts have reported. */
    removeAllHostLoads(): void;
    /** Returns reports about the servers that changed since the last call; to be called at least each 100 ms. */
    drainReports(now: number): ServerReport[];
    size(): number;
}
