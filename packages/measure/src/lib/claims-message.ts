/** Messages between the measurement of claims and its child processes. */

/** Role of a child process. */
export enum ClaimsRole {
    /** An entry host with a claim node. */
    Entry = "entry",
    /** An entry host that records its claims on the disk hosts. */
    DiskEntry = "disk-entry",
    /** A host that syncs each claim to its disk. */
    Disk = "disk",
}

/** Identity, location and listening address of a process. */
export interface ClaimsPeer {
    hostId: string;
    region: string;
    availabilityZone: string;
    host: string;
    port: number;
}

/** Load that a process generates. */
export interface ClaimsLoad {
    /** Concurrent open claims. */
    concurrency: number;
    durationMs: number;
}

/** Kinds of {@link ClaimsCommand}. */
export enum ClaimsCommandKind {
    /** Starts listening. */
    Start = "start",
    /** Connects to the peers. */
    Connect = "connect",
    /** Generates load for a given time. */
    Load = "load",
}

/** Command from the measurement to a child process. */
export type ClaimsCommand =
    | { kind: ClaimsCommandKind.Start; role: ClaimsRole; self: ClaimsPeer; folder: string; linkDelays: boolean; }
    | { kind: ClaimsCommandKind.Connect; peers: ClaimsPeer[]; }
    | { kind: ClaimsCommandKind.Load; load: ClaimsLoad; };

/** Kinds of {@link ClaimsReport}. */
export enum ClaimsReportKind {
    Listening = "listening",
    Connected = "connected",
    Loaded = "loaded",
}

/** Reply of a child process to a command. */
export type ClaimsReport =
    | { kind: ClaimsReportKind.Listening; port: number; }
    | { kind: ClaimsReportKind.Connected; }
    /** Times from request to grant of the granted claims, in milliseconds, and the number of refused claims. */
    | { kind: ClaimsReportKind.Loaded; timesMs: number[]; refused: number; };

/** Simulated one-way delay between two hosts of the users' deployments, in milliseconds. */
export const linkDelayMs = (from: ClaimsPeer, to: ClaimsPeer): number => {
    if (from.region !== to.region) {
        return 20;
    }
    return from.availabilityZone === to.availabilityZone ? 0 : 1;
};
