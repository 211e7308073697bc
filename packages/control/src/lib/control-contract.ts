/** What a running state host offers, and what it needs. */
import type { GatewayConfig, PublishedConfiguration, Random, ServerAnnouncement, StateTiming } from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";
import type { DataFolder } from "@cassiapick/state";

/** Options of a state host. */
export interface ControlHostOptions {
    /** "host:port" where state hosts and entry hosts reach this one; it is also its name. */
    hostId: string;
    availabilityZone: string;
    region: string;
    /** Regions by availability zone. */
    regions: Readonly<Record<string, string>>;
    /** The state hosts to ask first, as "host:port". A first start founds the fleet's state with them. */
    seeds: readonly string[];
    folder: DataFolder;
    reopen: () => Promise<DataFolder>;
    /** The least number of disks that vote. */
    minVoters: number;
    /** Usual time between two announcements of a server, in milliseconds. */
    heartbeatMs: number;
    timing: StateTiming;
    random: Random;
    /** Milliseconds of a clock that never goes back. */
    clock: () => number;
    /** Wall-clock time in milliseconds since 1970. */
    wallClock: () => number;
    log: EventLog;
    /** Reads an operator's document, which was checked when it was published. */
    readDocument: (published: PublishedConfiguration) => GatewayConfig;
}

/** How a request to the state hosts ended. */
export enum ControlOutcome {
    Done = "done",
    /** Not agreed on in time; the outcome is unknown. */
    Unavailable = "unavailable",
}

/** The published configuration as read back. */
export type ReadResult = { ok: true; published: PublishedConfiguration | undefined; } | { ok: false; };

/** A running state host. */
export interface ControlHost {
    /** Resolves once the announcement binds the whole fleet. */
    announce(server: ServerAnnouncement): Promise<ControlOutcome>;
    leave(serverId: string, bornAt: number | undefined): Promise<ControlOutcome>;
    publish(published: PublishedConfiguration): Promise<ControlOutcome>;
    read(): Promise<ReadResult>;
    /** The name of the state host, this one included, that servers of a zone should announce themselves to. */
    nearest(availabilityZone: string): string;
    /** Other state hosts may be asked from now on. */
    setSeeds(seeds: readonly string[]): void;
    /** Where a caller should connect. */
    addresses(availabilityZone: string, region: string): string[];
    /** Values for the metrics address. */
    gauges(): Record<string, number>;
    stop(): Promise<void>;
}
