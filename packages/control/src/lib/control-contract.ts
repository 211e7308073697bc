/** Interface and options of a running state host. */
import type {
    GatewayConfig,
    PublishedConfiguration,
    QuotaBound,
    Random,
    ServerAnnouncement,
    StateTiming,
} from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";
import type { DataFolder } from "@cassiapick/state";

/** Options of a state host. */
export interface ControlHostOptions {
    /** "host:port" that state hosts and entry hosts connect to; also the host's id. */
    hostId: string;
    availabilityZone: string;
    region: string;
    /** Regions by availability zone. */
    regions: Readonly<Record<string, string>>;
    /** State hosts to contact first, as "host:port". On the first start, the fleet's state is bootstrapped with them. */
    seeds: readonly string[];
    folder: DataFolder;
    /** Opens the folder again after a failed write. */
    reopen: () => Promise<DataFolder>;
    /** Minimum number of voters, each with its own disk. */
    minVoters: number;
    /** Interval at which a server announces itself, in milliseconds. */
    heartbeatMs: number;
    timing: StateTiming;
    /** How far requests of workspaces may exceed their quotas; by default, `defaultQuotaBound`. */
    quotaBound?: QuotaBound;
    random: Random;
    /** Monotonic time in milliseconds. */
    clock: () => number;
    /** Wall-clock time in milliseconds since 1970. */
    wallClock: () => number;
    log: EventLog;
    /** Decodes an operator's document, which was checked when it was published. */
    readDocument: (published: PublishedConfiguration) => GatewayConfig;
}

/** Outcome of a request to the state hosts. */
export enum ControlOutcome {
    Done = "done",
    /** Not committed in time; the outcome is unknown. */
    Unavailable = "unavailable",
    /** Not recorded, as the configuration in force names no such service. */
    UnknownService = "unknown-service",
    /** Not recorded, as the process has left, or a newer one uses its id or its address. */
    Outdated = "outdated",
}

/** The published configuration, read through the consensus. */
export type ReadResult = { ok: true; published: PublishedConfiguration | undefined; } | { ok: false; };

/** A running state host. */
export interface ControlHost {
    /** Resolves with `Done` once the announcement is committed, or if it says nothing new. */
    announce(server: ServerAnnouncement): Promise<ControlOutcome>;
    /** Resolves with `Done` once the server's departure is committed; also that of a server which this state host doesn't know. */
    leave(serverId: string, bornAt: number | undefined): Promise<ControlOutcome>;
    publish(published: PublishedConfiguration): Promise<ControlOutcome>;
    read(): Promise<ReadResult>;
    /** Id of the state host that the servers of an availability zone should announce themselves to; it may be this host. */
    nearestHostId(availabilityZone: string): string;
    /** Adds state hosts to contact. */
    setSeeds(seeds: readonly string[]): void;
    /** Addresses of the entry hosts that a caller should connect to. */
    entryAddresses(availabilityZone: string, region: string): string[];
    /** Current values for the metrics endpoint. */
    gauges(): Record<string, number | string>;
    stop(): Promise<void>;
}
