/** The two tables that operators edit, and their order of versions. */

/** How a pool weighs detection time against false ejections. */
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
    /** The kind of request: the first segment of its path. */
    kind: string;
    /** The name of a row of the pools table. */
    destination: string;
    /** Whether requests may run more than once. `undefined` decides by method: GET, HEAD and OPTIONS are idempotent. */
    idempotent?: boolean;
    /** The longest time that a request may take, in milliseconds. */
    timeoutMs: number;
}

/** A row of the pools table: one destination is served by the backend servers that announce one service. */
export interface Pool {
    destination: string;
    /** The service name that backend servers announce. */
    service: string;
    /** The share of the announced slots, from 0 to 1, that ejection never goes below. */
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
    /** Grows when operators rebuild the state hosts after losing a majority of disks. */
    epoch: number;
    /** Grows by one with each accepted change. 0 means that nothing has been applied. */
    index: number;
}

/** Both tables together with the version that accepted them. */
export interface VersionedTables {
    version: Version;
    tables: Tables;
}

/** The version before the first change. */
export const noVersion: Version = { epoch: 0, index: 0 };

/** Orders versions: negative when `a` is older than `b`, 0 when equal, positive when newer. */
export const compareVersions = (a: Version, b: Version): number => a.epoch === b.epoch ? a.index - b.index : a.epoch - b.epoch;

/** Renders a version for people, as "epoch.index". */
export const formatVersion = (version: Version): string => `${version.epoch}.${version.index}`;
