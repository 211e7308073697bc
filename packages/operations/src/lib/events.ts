/** The catalogue of numbered log events. docs/EVENTS.md is written from it. */

export enum EventLevel {
    Info = "info",
    Warn = "warn",
    Error = "error",
}

/** One entry of the catalogue. */
export interface EventDefinition {
    /** Stable number, as in "CP1001". */
    code: string;
    level: EventLevel;
    /** What happened, in one sentence. */
    meaning: string;
    /** What an operator does about it. */
    remedy: string;
}

const info = (code: string, meaning: string, remedy = "Nothing to do."): EventDefinition => ({
    code,
    level: EventLevel.Info,
    meaning,
    remedy,
});
const warn = (code: string, meaning: string, remedy: string): EventDefinition => ({
    code,
    level: EventLevel.Warn,
    meaning,
    remedy,
});
const error = (code: string, meaning: string, remedy: string): EventDefinition => ({
    code,
    level: EventLevel.Error,
    meaning,
    remedy,
});

/** Every event that a program of cassiapick logs. */
export const events = {
    started: info("CP1001", "The process has started and serves."),
    draining: info("CP1002", "The process has been asked to stop and finishes its work."),
    stopped: info("CP1003", "The process has stopped."),
    settingsInvalid: error("CP1004", "A setting is missing or out of range.", "Correct the setting that the message names."),
    tablesInForce: info("CP2001", "A newer version of the tables is in force on this host."),
    tablesUnreachable: warn(
        "CP2002",
        "No state host answers; the last tables stay in force.",
        "Check that a majority of the state hosts runs.",
    ),
    becameLeader: info("CP2003", "This state host leads."),
    storageFailed: error(
        "CP2004",
        "A write or sync of the data folder failed; the process stops.",
        "Check the disk, then start the process again.",
    ),
    serverJoined: info("CP3001", "A backend server announced itself."),
    serverLeft: info("CP3002", "A backend server left or its lease ended."),
    serverEjected: warn(
        "CP3003",
        "A backend server was ejected.",
        "Look at the backend server; it returns by itself when it is well.",
    ),
    serverReadmitted: info("CP3004", "An ejected backend server was readmitted."),
    floorReached: warn(
        "CP3005",
        "A suspected backend server stays because the pool is at its floor.",
        "Start more backend servers for the pool.",
    ),
    requestRefused: warn("CP4001", "A request was refused.", "Read the reason; no-capacity wants more backend servers."),
    hostChanged: info("CP5002", "Another entry host joined, left or changed its state."),
    internalFault: error(
        "CP5003",
        "An event met a fault of this program and was dropped.",
        "Report it with the line of the log.",
    ),
    peerRejected: warn(
        "CP5001",
        "A connection of a peer was closed for a fault of the peer.",
        "Check the peer's version and token file.",
    ),
} as const satisfies Record<string, EventDefinition>;

export type EventName = keyof typeof events;
