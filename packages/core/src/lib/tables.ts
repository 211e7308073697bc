/** The routes and pools tables that operators edit, and their versions. */

/** The trade-off of a pool between detection time and false ejections. */
export enum DetectionMode {
    /** Short detection time; a rare false ejection is accepted. */
    Prompt = "prompt",
    /** No false ejection; a longer detection time is accepted. */
    Careful = "careful",
}

/** A row of the routes table: one brand and one kind of request go to one destination. */
export interface Route {
    /** The brand whose callers send the request. */
    brand: string;
    /** The kind of request, which is the first segment of its path. */
    kind: string;
    /** The name of a row of the pools table. */
    destination: string;
    /** Whether requests may run more than once. If `undefined`, the method decides: GET, HEAD and OPTIONS are idempotent. */
    idempotent?: boolean;
    /** Timeout of a request, in milliseconds. */
    timeoutMs: number;
}

/** A row of the pools table: one destination is served by the backend servers that announce one service. */
export interface Pool {
    destination: string;
    /** The service name that backend servers announce. */
    service: string;
    /** The share of the announced slots, from 0 to 1, that ejection always keeps in service. */
    floorShare: number;
    detection: DetectionMode;
}

/** Both tables, which change together. */
export interface Tables {
    routes: Route[];
    pools: Pool[];
}

/** A position in the single order of accepted configurations. */
export interface Version {
    /** Increases when operators rebuild the state hosts after the loss of a majority of disks. */
    epoch: number;
    /** Increases by one with each accepted change; 0 before the first. */
    index: number;
}

/** Both tables together with their version. */
export interface VersionedTables {
    version: Version;
    tables: Tables;
}

/** The version before the first change. */
export const noVersion: Version = { epoch: 0, index: 0 };

/** Orders versions: negative when `a` is older than `b`, 0 when equal, positive when newer. */
export const compareVersions = (a: Version, b: Version): number => a.epoch === b.epoch ? a.index - b.index : a.epoch - b.epoch;

/** Formats a version for display, as "epoch.index". */
export const formatVersion = (version: Version): string => `${version.epoch}.${version.index}`;
