/** The catalogue of numbered log events, from which docs/EVENTS.md is generated. */

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
    /** What an operator should do. */
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
    started: info("CP1001", "The process has started and is serving."),
    draining: info("CP1002", "The process has been asked to stop and is finishing its open work."),
    stopped: info("CP1003", "The process has stopped."),
    settingsInvalid: error("CP1004", "A setting is missing or out of range.", "Correct the setting that the message names."),
    tablesInForce: info("CP2001", "A newer version of the tables is in force on this host."),
    tablesUnreachable: warn(
        "CP2002",
        "No state host answers; the last tables stay in force.",
        "Check that a majority of the state hosts is running.",
    ),
    becameLeader: info("CP2003", "This state host became the leader."),
    storageFailed: error(
        "CP2004",
        "A write or sync of the data folder failed; the process stops.",
        "Check the disk, then start the process again.",
    ),
    roleChanged: info("CP2005", "This state host became a follower, became a candidate in an election, or started to recover."),
    storageRegained: info("CP2006", "The data folder accepts writes again; the host continues with the state on its disk."),
    storageStillFails: warn("CP2007", "The data folder still accepts no writes.", "Free space on the disk or replace it."),
    storageSuspended: error(
        "CP2008",
        "A write or sync of the data folder failed; the host neither votes nor replicates until its disk accepts writes.",
        "Free space on the disk or replace it; the host then continues without a restart.",
    ),
    settingsReloaded: info("CP1005", "The settings file was read again."),
    settingsUnreadable: error(
        "CP1006",
        "The settings file can't be used; the last settings stay in force.",
        "Correct what the message names.",
    ),
    linesDropped: warn(
        "CP1007",
        "The log could not be written fast enough; lines were dropped.",
        "Speed up the reader of the log.",
    ),
    processLate: warn(
        "CP1008",
        "Periodic work of this process ran late: it did long work, was paused, or got too little processor time.",
        "Look for long work in the lines before it, such as 'configurationSent'; give the host more processor time if there is none.",
    ),
    stopSignalRepeated: info("CP1009", "The process was asked to stop once more; it goes on with the stop that it has begun."),
    configurationRecorded: info(
        "CP2009",
        "A published configuration was committed, or one with the same or a higher number was already stored.",
    ),
    apiCallUnreadable: warn(
        "CP2023",
        "The body of a call to the API is not valid UTF-8; the call was refused.",
        "Find the caller by the path; send JSON in UTF-8.",
    ),
    configurationRefused: warn("CP2010", "A published configuration was refused.", "Correct what the message names."),
    configurationQuestionable: warn(
        "CP2021",
        "A published configuration has content that this version does not know; the message says how it is in force.",
        "Correct the configuration, or use a version that knows it.",
    ),
    stateUnavailable: warn(
        "CP2011",
        "A request to the state hosts was not answered in time; its outcome is unknown.",
        "Send it again; check that a majority of the state hosts is running.",
    ),
    stateHostAttached: info("CP2012", "This entry host receives updates from a state host."),
    stateHostLost: warn(
        "CP2013",
        "The connection to the state host ended; the entry host tries another one.",
        "Check the state host if it does not come back.",
    ),
    viewStale: warn(
        "CP2014",
        "No majority of the state hosts has confirmed this host's view recently; it serves from the last view.",
        "Check that a majority of the state hosts is running and can be reached.",
    ),
    viewFresh: info("CP2015", "A majority of the state hosts confirms this host's view again."),
    configurationInForce: info("CP2016", "A newer published configuration is in force on this host."),
    stateHostTried: info("CP2017", "This entry host tries another state host; the fields show what it knew when it decided."),
    stateHostNotChosen: info(
        "CP2018",
        "This entry host stays with its state host, because the one that it tried reports an old view or is no longer needed.",
    ),
    updateUnusable: warn(
        "CP2019",
        "An update of the configuration was based on another configuration than the one on this host.",
        "Report it with the log lines of this entry host and of the state host.",
    ),
    votersChanged: info("CP2020", "The set of voters in the log of this state host has changed."),
    configurationSent: info("CP2022", "A state host sent a configuration to the entry hosts that are attached to it."),
    serverJoined: info("CP3001", "A backend server announced itself."),
    serverLeft: info("CP3002", "A backend server left or its lease expired."),
    serverEjected: warn(
        "CP3003",
        "A backend server was ejected.",
        "Check the backend server; it is readmitted automatically when it is healthy.",
    ),
    serverReadmitted: info("CP3004", "An ejected backend server was readmitted."),
    floorReached: warn(
        "CP3005",
        "A suspected backend server stays in use because the pool is at its floor.",
        "Start more backend servers for the pool.",
    ),
    serverLimitRecorded: info(
        "CP3009",
        "A backend server named a limit of requests a second for the whole fleet, changed it, or named none any more.",
        "Find out why the server can't take its usual load.",
    ),
    limitSharesChanged: info(
        "CP3010",
        "The limits of backend servers, or the parts of them that this entry host may use, have changed.",
    ),
    requestRefused: warn("CP4001", "A request was refused.", "Read the reason; for no-capacity, start more backend servers."),
    requestServed: info("CP4002", "A request was answered by a backend server."),
    requestFailed: warn(
        "CP4003",
        "A request failed and may have run.",
        "Find the attempts of the request by its requestId; check the backend servers that they name.",
    ),
    requestUnrouted: warn("CP4004", "No route matches a request.", "Check the host name and the path against the routes."),
    requestUnauthorized: warn(
        "CP4009",
        "A request was refused, as its route needs a key that the configuration in force does not have.",
        "Compare the keys of the caller and of the configuration; the reason says whether a key was sent.",
    ),
    sendEnded: info("CP4005", "One attempt of a request at a backend server ended without an answer that could be passed on."),
    requestForwarded: info(
        "CP4007",
        "A request was sent through another entry host, as this one has no path to the servers of its service.",
    ),
    forwardRefused: info(
        "CP4008",
        "A request of another entry host was turned away before it was sent to a server; the reason says why.",
    ),
    roomShort: warn(
        "CP4020",
        "The servers of a service have less room than requests need; requests wait on this host by priority and slack.",
        "Start more backend servers of the service, or find out why its servers are slow or decline requests.",
    ),
    roomRegained: info("CP4021", "The servers of a service have free slots again; requests are sent at once."),
    requestTurnedAway: info(
        "CP4022",
        "A request was refused while room was short, before it was sent to a server; the fields show what decided it.",
    ),
    hostCountConfirmed: info(
        "CP4023",
        "A confirmed view names another number of entry hosts; each has an equal part of the reserve of retries.",
    ),
    callerLeft: info("CP4006", "The caller disconnected before its answer; the open attempts of its request are cancelled."),
    announcementRejected: warn(
        "CP3019",
        "An announcement of a backend server can't be used, and names no server; the records of others hold.",
        "Find the process that sends it by serverId; the answer to it says what is expected.",
    ),
    serverUpdated: info("CP3006", "The record of a backend server has changed."),
    serverSuspected: info("CP3007", "A backend server is suspected, because requests to it fail; it is avoided."),
    serverTrusted: info("CP3008", "A backend server that was suspected gets requests again."),
    serverPathLost: warn(
        "CP3011",
        "This entry host can't connect to several servers of a service ('*': of all services) and to no other, so its network path is at fault.",
        "Check the network between this host and the backend servers.",
    ),
    serverPathRestored: info("CP3012", "This entry host can connect to the servers of a service ('*': of all services) again."),
    serverRests: info("CP3013", "A backend server turned a request away and asked this entry host for no requests for a while."),
    serverLeaving: info(
        "CP3014",
        "A backend server stated in an answer that it is leaving; this entry host sends it nothing more.",
    ),
    serverEndedUnderRequest: warn(
        "CP3015",
        "A backend server has ended while it ran a request: its connection broke, and it accepts no new one.",
        "Look for other lines with the same requestKey; if there are several, the request ends the servers that run it.",
    ),
    requestQuarantined: warn(
        "CP3016",
        "Several backend servers have ended under the same request, more than chance explains; it is refused until a trial shows otherwise.",
        "Find the caller by requestKey, and the fault in the backend servers that the request triggers.",
    ),
    requestCleared: info("CP3017", "A backend server has survived a quarantined request; it is served again."),
    quarantineRecorded: info("CP3018", "A change to the quarantined requests was committed."),
    quotaSharesChanged: info("CP3030", "The parts of workspaces' quotas that this state host hands out have changed."),
    quotaRefused: info(
        "CP3031",
        "A state host had no token of a workspace left for requests; logged once a second for each workspace.",
    ),
    quotaUsedUp: info(
        "CP3032",
        "A request was refused as its workspace has used up its quota; logged once a second for each workspace.",
    ),
    hostChanged: info("CP5002", "Another entry host joined, left or changed its state."),
    internalFault: error(
        "CP5003",
        "An event could not be processed because of a fault of this program, and was dropped.",
        "Report it with the log line.",
    ),
    peerRejected: warn(
        "CP5001",
        "A connection of a peer was closed; the reason says why.",
        "Check the peer's version and token file.",
    ),
} as const satisfies Record<string, EventDefinition>;

export type EventName = keyof typeof events;
