/** What the measurement of claims and its processes tell each other. */

/** What a process does. */
export enum ClaimsRole {
    /** An entry host with a claim node. */
    Entry = "entry",
    /** An entry host that records its claims on the disk hosts. */
    DiskEntry = "disk-entry",
    /** A host that syncs each claim to its disk. */
    Disk = "disk",
}

/** Where a process listens. */
export interface ClaimsPeer {
    hostId: string;
    region: string;
    availabilityZone: string;
    host: string;
    port: number;
}

/** How much load a process makes. */
export interface ClaimsLoad {
    /** Claims that are open at a time. */
    concurrency: number;
    durationMs: number;
}

export enum ClaimsOrderKind {
    /** Listen. */
    Start = "start",
    /** Connect to the others. */
    Connect = "connect",
    Load = "load",
}

export type ClaimsOrder =
    | { kind: ClaimsOrderKind.Start; role: ClaimsRole; self: ClaimsPeer; folder: string; linkDelays: boolean; }
    | { kind: ClaimsOrderKind.Connect; peers: ClaimsPeer[]; }
    | { kind: ClaimsOrderKind.Load; load: ClaimsLoad; };

export enum ClaimsReportKind {
    Listening = "listening",
    Connected = "connected",
    Loaded = "loaded",
}

export type ClaimsReport =
    | { kind: ClaimsReportKind.Listening; port: number; }
    | { kind: ClaimsReportKind.Connected; }
    /** Times from the wish to the grant, and claims that were refused. */
    | { kind: ClaimsReportKind.Loaded; timesMs: number[]; refused: number; };

/** One-way time between two hosts by the users' sizes, in milliseconds. */
export const linkDelayMs = (from: ClaimsPeer, to: ClaimsPeer): number => {
    if (from.region !== to.region) {
        return 20;
    }
    return from.availabilityZone === to.availabilityZone ? 0 : 1;
};
