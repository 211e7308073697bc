/** Scenarios of hosts that lose their path to backend servers, and what a simulation of them finds. */
import type { FleetServer, HostPhase, PathMonitor, PeerSelector, ServerPool } from "../index.js";
import type { regions } from "./simulated-site.js";

/** How connections of a host to a server fare. */
export enum Connection {
    Established = "established",
    Refused = "refused",
    Hanging = "hanging",
    /** Established, but late. */
    Slow = "slow",
}

export interface Scenario {
    name: string;
    /** The connection of a host to a server during the cut; later requests may find another one. */
    connection: (host: SimulatedHost, server: FleetServer, now: number) => Connection;
}

export interface SimulatedHost {
    index: number;
    hostId: string;
    zone: keyof typeof regions;
    pool: ServerPool;
    path: PathMonitor;
    peers: PeerSelector;
    phase: HostPhase;
    /** The process has ended and a new one starts at this time. */
    downUntil: number;
    /** When a path to a service, or to all servers, was lost or restored, by service. */
    pathChanges: Map<string | undefined, number[]>;
}

export interface Tally {
    sent: number;
    served: number;
}

export interface ConnectionTally {
    requests: number;
    trials: number;
}

export interface Outcome {
    /** First attempts at hosts that are cut off from all servers, from `contactMs` after the cut began. */
    atCut: Tally;
    /** First attempts at the other hosts, meanwhile. */
    atOthers: Tally;
    /** First attempts at all hosts after the path had returned. */
    afterReturn: Tally;
    /** Requests that were sent through another host after the path had returned. */
    forwardedAfterReturn: number;
    /** Hosts without a path that the directory named in the last second of the cut. */
    namedCutHosts: number;
    mostRuns: number;
    /** Requests, and connections that carried none, before the cut, and from its begin to its end. */
    calm: ConnectionTally;
    duringCut: ConnectionTally;
    /** Most changes of one path of one host within 10 s. */
    mostPathChanges: number;
    /** Longest time that a request was held by a host before it was refused, in milliseconds. */
    longestRefusalMs: number;
}
