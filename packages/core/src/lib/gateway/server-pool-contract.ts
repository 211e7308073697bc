/** What the view of the backend servers of one entry host offers, and what hosts tell each other of them. */
import type { FleetServer } from "../fleet/facts.js";
import type { Random } from "../random.js";
import type { ChoiceWeights } from "./choice-weights.js";
import type { Repeatability } from "./gateway-config.js";
import type { Sign } from "./server-belief.js";

/** Where this host stands. */
export interface PoolPlace {
    availabilityZone: string;
    /** Regions by availability zone. */
    regions: Readonly<Record<string, string>>;
}

/** A server as chosen, with what decided it. */
export interface Choice {
    server: FleetServer;
    /** Probability that the server is failing, from 0 to 1. */
    failing: number;
    /** Requests under way there, as far as known. */
    load: number;
    /** Age of the newest sign, in milliseconds; `undefined` without one. */
    signAgeMs?: number;
}

/** What one host reports of one server: outcomes since the last report, and its requests under way. */
export interface ServerReport {
    number: number;
    successes: number;
    failures: number;
    inFlight: number;
}

/** Options of {@link createServerPool}. */
export interface ServerPoolCfg {
    place: PoolPlace;
    random: Random;
    /** Wall-clock time in milliseconds since 1970, for slow starts. */
    wallClock: () => number;
    weights?: ChoiceWeights;
}

/** The servers as one entry host sees them. */
export interface ServerPool {
    /** Takes changed records, oldest first. */
    update(records: readonly FleetServer[]): void;
    /** The best server for a request of `service`, without those in `excluded`; `undefined` when there is none. */
    choose(service: string, repeatability: Repeatability, excluded: ReadonlySet<number>, now: number): Choice | undefined;
    /** Whether the servers of `service` have free slots, as far as known. */
    hasFreeSlots(service: string): boolean;
    began(number: number, now: number): void;
    /** A request is no longer under way; `sign` is what its outcome says of the server. */
    ended(number: number, sign: Sign | undefined, now: number): void;
    /** A request under way waits far longer than usual. */
    noteStuck(number: number, now: number): void;
    /** Another server answered at the address. */
    noteReplaced(number: number): void;
    /** Takes what another host of the availability zone reports. */
    takeReport(hostKey: string, report: ServerReport, now: number): void;
    /** Takes failures that hosts of other availability zones report; of their successes and load nothing is known. */
    takeFailures(report: ServerReport, now: number): void;
    /** Drops the load that a host has reported. */
    forgetHost(hostKey: string): void;
    /** Drops all load that hosts have reported. */
    forgetAllHosts(): void;
    /** What has changed since the last call. */
    drainReports(): ServerReport[];
    size(): number;
}
