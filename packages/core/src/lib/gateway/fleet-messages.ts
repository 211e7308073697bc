/**
 * Messages on the links between entry hosts and state hosts, and between state hosts.
 *
 * Bytes between availability zones and regions are billed, so kinds are single letters, rows are arrays, and only what has
 * changed is sent.
 */
import type { PeerMessage } from "../consensus/node-messages.js";
import type { FleetServer, HostPhase, ServingState } from "../fleet/facts.js";
import type { StateContact } from "./attachment.js";
import type { ConfigDelta, GatewayConfig } from "./gateway-config.js";
import type { ServerReport } from "./server-pool-contract.js";

export enum LinkMessageKind {
    /** First message of a state host to another one. */
    PeerHello = "P",
    /** A message of the consensus. */
    Consensus = "C",
    /** Says that messages arrive, on links that carry them one way only. */
    Receipt = "R",
    /** First message of an entry host. */
    EntryHello = "E",
    /** Nothing new; the sender lives. */
    Alive = "A",
    /** The entry host's phase has changed. */
    Phase = "F",
    /** Outcomes and load that an entry host saw. */
    Report = "O",
    /** Outcomes and load that other entry hosts saw. */
    Reports = "X",
    /** Outcomes that entry hosts of other state hosts saw. */
    Outcomes = "Y",
    /** The load that a host reported no longer counts. */
    HostLeft = "L",
    Config = "G",
    ConfigDelta = "D",
    Servers = "S",
    /** The state hosts that can be listened to, and the number of entry hosts. */
    Contacts = "H",
    /** How old the sender's view may be. */
    View = "V",
}

/** A server's record without what only state hosts need. */
export type ServerRow = [
    number: number,
    serverId: string,
    service: string,
    address: string,
    availabilityZone: string,
    slots: number,
    state: ServingState,
    warmAt: number,
    silent: boolean,
    revision: number,
];

/** One {@link ServerReport}. */
export type ReportRow = [number: number, successes: number, failures: number, inFlight: number];

export interface EntryHello {
    k: LinkMessageKind.EntryHello;
    hostId: string;
    /** Where callers connect, as "host:port". */
    address: string;
    availabilityZone: string;
    region: string;
    startedAt: number;
    phase: HostPhase;
    /** Number of the configuration held; 0 without one. */
    configNumber: number;
    serversRevision: number;
}

export type LinkMessage =
    | { k: LinkMessageKind.PeerHello; hostId: string; }
    | { k: LinkMessageKind.Consensus; m: PeerMessage; }
    | { k: LinkMessageKind.Receipt; }
    | EntryHello
    | { k: LinkMessageKind.Alive; }
    | { k: LinkMessageKind.Phase; phase: HostPhase; }
    | { k: LinkMessageKind.Report; r: ReportRow[]; }
    /** Rows by the short key that the state host gave each entry host. */
    | { k: LinkMessageKind.Reports; h: [hostKey: number, rows: ReportRow[]][]; }
    | { k: LinkMessageKind.Outcomes; r: ReportRow[]; }
    | { k: LinkMessageKind.HostLeft; h: number; }
    | { k: LinkMessageKind.Config; config: GatewayConfig; }
    | { k: LinkMessageKind.ConfigDelta; delta: ConfigDelta; }
    | { k: LinkMessageKind.Servers; rows: ServerRow[]; revision: number; }
    | { k: LinkMessageKind.Contacts; contacts: StateContact[]; entryHosts: number; }
    /** Milliseconds; negative when no majority confirms the sender's view. */
    | { k: LinkMessageKind.View; ageMs: number; };

const kinds: ReadonlySet<unknown> = new Set(Object.values(LinkMessageKind));

/** Whether a decoded frame is a message that this version knows. */
export const isLinkMessage = (value: unknown): value is LinkMessage =>
    typeof value === "object" && value !== null && "k" in value && kinds.has(value.k);

/** Encodes a server's record. */
export const toServerRow = (server: FleetServer): ServerRow => [
    server.number,
    server.serverId,
    server.service,
    server.address,
    server.availabilityZone,
    server.slots,
    server.state,
    server.warmAt,
    server.silent,
    server.revision,
];

/** Decodes a server's record; entry hosts know neither its start nor its keeper. */
export const fromServerRow = (row: ServerRow): FleetServer => {
    const [number, serverId, service, address, availabilityZone, slots, state, warmAt, silent, revision] = row;
    const record = { number, serverId, service, address, availabilityZone, slots, state, warmAt, silent, revision };
    return { ...record, bornAt: 0, keeper: "" };
};

/** Encodes a report. */
export const toReportRow = (report: ServerReport): ReportRow => [
    report.number,
    report.successes,
    report.failures,
    report.inFlight,
];

/** Decodes a report. */
export const fromReportRow = ([number, successes, failures, inFlight]: ReportRow): ServerReport => ({
    number,
    successes,
    failures,
    inFlight,
});
