/**
 * Messages on the links between entry hosts and state hosts, and between state hosts.
 *
 * Traffic between availability zones and regions is billed, so kinds are single letters, rows are arrays, and only changes
 * are sent.
 */
import type { CompactMessage } from "../consensus/compact-messages.js";
import type { PeerMessage } from "../consensus/node-messages.js";
import type { FleetServer, HostPhase, ServingState } from "../fleet/facts.js";
import type { EvidenceRow } from "../quarantine/request-evidence.js";
import type { QuarantinedRequest } from "../quarantine/request-quarantine.js";
import type { QuotaAskRow, QuotaDemand, QuotaGrantRow, QuotaShares } from "../workspace/quota-messages.js";
import { fromCompactOutcomes, isCompactOutcomes, toCompactOutcomes } from "./compact-outcomes.js";
import type { ConfigNumber } from "./config-number.js";
import type { ConfigDelta, GatewayConfig } from "./gateway-config.js";
import type { LimitShare } from "./limit-shares.js";
import type { EntryPeer } from "./peer-selector.js";
import type { LimitReport } from "./server-limits.js";
import type { ServerReport } from "./server-pool-types.js";
import type { StateHostContact } from "./state-host-selector.js";

export enum LinkMessageKind {
    /** First message between two state hosts. */
    PeerHello = "P",
    /** A message of the consensus protocol. */
    Consensus = "C",
    /** A message of the consensus protocol in its short form, to state hosts that say that they understand it. */
    CompactConsensus = "c",
    /** Confirms that messages arrive, on links that otherwise carry messages in one direction only. */
    Ack = "R",
    /** First message of an entry host. */
    EntryHello = "E",
    /** Shows that the sender is alive when it has nothing else to send. */
    Heartbeat = "A",
    /** The entry host's phase has changed. */
    Phase = "F",
    /** Outcomes and load observed by the entry host that sends the message. */
    Report = "O",
    /** Outcomes and load observed by the other entry hosts attached to the sender. */
    RelayedReports = "X",
    /** Outcomes observed by entry hosts that are attached to other state hosts. */
    RemoteOutcomes = "Y",
    /** Load reported by an entry host no longer counts. */
    HostLeft = "L",
    Config = "G",
    ConfigDelta = "D",
    Servers = "S",
    /** The state hosts that accept entry hosts, and the number of entry hosts. */
    Contacts = "H",
    /** Upper bound of the age of the sender's view; on the link of an attached entry host, of what it was sent before. */
    ViewAge = "V",
    /** An entry host that is not attached asks for the age of the receiver's view. */
    ViewQuery = "Q",
    /** Limits that servers named to the entry host that sends the message. */
    ServerLimits = "B",
    /** The entry hosts that the receiver may ask to send requests for it. */
    Peers = "N",
    /** All limits of servers, and the parts of them that the receiver may use. */
    LimitShares = "W",
    /** What entry hosts have seen of requests that may end servers, for all other entry hosts. */
    RequestEvidence = "K",
    /** From a state host, all requests that are quarantined; from an entry host, changes to them. */
    Quarantined = "Z",
    /** An entry host asks for tokens of workspaces. */
    QuotaAsk = "qa",
    /** Answers asks for tokens; the first one, without rows, shows that the state host understands asks. */
    QuotaGrant = "qg",
    /** A state host tells the leader what it needs of the quotas. */
    QuotaDemand = "qd",
    /** The leader tells a state host its shares of the quotas. */
    QuotaShares = "qs",
}

/** A server's record without the fields that only state hosts use. */
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
export type ReportRow = [
    number: number,
    successes: number,
    failures: number,
    inFlight: number,
    /** Absent in rows of earlier versions, and if both are 0. */
    waitLevel?: number,
    hangs?: number,
];

/** One {@link LimitReport}; without `limitPerS`, the limit has ended. */
export type LimitReportRow = [serverId: string, number: number, limitPerS?: number];

/** One {@link LimitShare}. */
export type LimitShareRow = [number: number, limitPerS: number, ratePerS: number];

/** One {@link QuarantinedRequest}; from an entry host, `isLifted` is 1 if servers survive the request. */
export type QuarantinedRow = [key: string, trialInMs: number, trials: number, serverCount: number, isLifted?: number];

/** One {@link EntryPeer}. */
export type PeerRow = [address: string, availabilityZone: string];

export interface EntryHello {
    k: LinkMessageKind.EntryHello;
    hostId: string;
    /** Where callers connect, as "host:port". */
    address: string;
    /** Where the host accepts requests of other entry hosts; hosts that name none understand no {@link LinkMessageKind.Peers}. */
    forwardAddress?: string;
    availabilityZone: string;
    region: string;
    startedAt: number;
    phase: HostPhase;
    /** Number of the configuration that the entry host has; 0 without one. */
    configNumber: ConfigNumber;
    serversRevision: number;
    /** Whether the host understands shares of limits; earlier versions close a link that carries them. */
    takesLimits?: boolean;
    /** Whether the host understands evidence about requests; earlier versions close a link that carries it. */
    takesEvidence?: boolean;
    /** Whether the host understands tokens of workspaces; earlier versions close a link that carries them. */
    takesQuotas?: boolean;
}

export type LinkMessage =
    | { k: LinkMessageKind.PeerHello; hostId: string; }
    | { k: LinkMessageKind.Consensus; m: PeerMessage; }
    | { k: LinkMessageKind.CompactConsensus; m: CompactMessage; }
    /** `e` is set if the sender understands evidence about requests, `c` if it understands short forms
     * and frames with history, `q` if it understands quotas, `p` if it understands patches of long values. */
    | { k: LinkMessageKind.Ack; e?: boolean; c?: boolean; q?: boolean; p?: boolean; }
    | EntryHello
    | { k: LinkMessageKind.Heartbeat; }
    | { k: LinkMessageKind.Phase; phase: HostPhase; }
    | { k: LinkMessageKind.Report; r: ReportRow[]; }
    /** Rows by the short key that the state host assigned to each entry host. */
    | { k: LinkMessageKind.RelayedReports; h: [hostKey: number, rows: ReportRow[]][]; }
    | { k: LinkMessageKind.RemoteOutcomes; r: ReportRow[]; }
    | { k: LinkMessageKind.HostLeft; h: number; }
    | { k: LinkMessageKind.Config; config: GatewayConfig; }
    | { k: LinkMessageKind.ConfigDelta; delta: ConfigDelta; }
    | { k: LinkMessageKind.Servers; rows: ServerRow[]; revision: number; }
    | { k: LinkMessageKind.Contacts; contacts: StateHostContact[]; entryHosts: number; }
    /** `ageMs` is in milliseconds, and negative while no majority confirms the sender's view. */
    | { k: LinkMessageKind.ViewAge; ageMs: number; }
    | { k: LinkMessageKind.ViewQuery; }
    | { k: LinkMessageKind.ServerLimits; r: LimitReportRow[]; }
    | { k: LinkMessageKind.LimitShares; r: LimitShareRow[]; }
    | { k: LinkMessageKind.Peers; p: PeerRow[]; }
    | { k: LinkMessageKind.RequestEvidence; r: EvidenceRow[]; }
    | { k: LinkMessageKind.Quarantined; q: QuarantinedRow[]; }
    | { k: LinkMessageKind.QuotaAsk; r: QuotaAskRow[]; }
    | { k: LinkMessageKind.QuotaGrant; r: QuotaGrantRow[]; }
    | { k: LinkMessageKind.QuotaDemand; m: QuotaDemand; }
    | { k: LinkMessageKind.QuotaShares; m: QuotaShares; };

const linkMessageKinds: ReadonlySet<unknown> = new Set(Object.values(LinkMessageKind));

/** Whether a decoded frame is a message of a kind that this version supports. */
export const isLinkMessage = (value: unknown): value is LinkMessage =>
    typeof value === "object" && value !== null && "k" in value && linkMessageKinds.has(value.k);

/** What is sent for a message to a state host that understands short forms; the most frequent messages are not wrapped. */
export const toWireValue = (message: LinkMessage): unknown => {
    if (message.k === LinkMessageKind.RemoteOutcomes) {
        return toCompactOutcomes(message.r);
    }
    return message.k === LinkMessageKind.CompactConsensus ? message.m : message;
};

/** The message that a decoded frame stands for. */
export const fromWireValue = (value: unknown): unknown => {
    if (isCompactOutcomes(value)) {
        return { k: LinkMessageKind.RemoteOutcomes, r: fromCompactOutcomes(value) };
    }
    return Array.isArray(value) ? { k: LinkMessageKind.CompactConsensus, m: value as CompactMessage } : value;
};

/** Encodes a server's record as a row. */
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

/** Decodes a server's record; `bornAt` and `keeper` are empty, as rows carry neither. */
export const fromServerRow = (row: ServerRow): FleetServer => {
    const [number, serverId, service, address, availabilityZone, slots, state, warmAt, silent, revision] = row;
    const record = { number, serverId, service, address, availabilityZone, slots, state, warmAt, silent, revision };
    return { ...record, bornAt: 0, keeper: "" };
};

/** Encodes a report as a row. */
export const toReportRow = ({ number, successes, failures, inFlight, waitLevel = 0, hangs = 0 }: ServerReport): ReportRow =>
    waitLevel === 0 && hangs === 0
        ? [number, successes, failures, inFlight]
        : [number, successes, failures, inFlight, waitLevel, hangs];

/** Decodes a report. */
export const fromReportRow = ([number, successes, failures, inFlight, waitLevel = 0, hangs = 0]: ReportRow): ServerReport => ({
    number,
    successes,
    failures,
    inFlight,
    waitLevel,
    hangs,
});

/** Whether hosts of other availability zones need the report: they receive failures and hangs only, as bytes are billed. */
export const concernsOtherZones = ([, , failures, , , hangs = 0]: ReportRow): boolean => failures > 0 || hangs !== 0;

/** Encodes a report of a limit as a row. */
export const toLimitReportRow = ({ serverId, number, limitPerS }: LimitReport): LimitReportRow =>
    limitPerS === undefined ? [serverId, number] : [serverId, number, limitPerS];

/** Decodes a report of a limit. */
export const fromLimitReportRow = ([serverId, number, limitPerS]: LimitReportRow): LimitReport => ({
    serverId,
    number,
    limitPerS,
});

/** Encodes a share of a limit as a row. */
export const toLimitShareRow = ({ number, limitPerS, ratePerS }: LimitShare): LimitShareRow => [number, limitPerS, ratePerS];

/** Decodes a share of a limit. */
export const fromLimitShareRow = ([number, limitPerS, ratePerS]: LimitShareRow): LimitShare => ({ number, limitPerS, ratePerS });

/** Encodes a quarantined request as a row. */
export const toQuarantinedRow = (
    { key, trialInMs, trials, serverCount }: QuarantinedRequest,
    isLifted = false,
): QuarantinedRow =>
    isLifted
        ? [key, Math.round(trialInMs), trials, serverCount, 1]
        : [key, Math.round(trialInMs), trials, serverCount];

/** Decodes a quarantined request. */
export const fromQuarantinedRow = ([key, trialInMs, trials, serverCount]: QuarantinedRow): QuarantinedRequest => ({
    key,
    trialInMs,
    trials,
    serverCount,
});

/** Encodes a peer as a row. */
export const toPeerRow = ({ address, availabilityZone }: EntryPeer): PeerRow => [address, availabilityZone];

/** Decodes a peer. */
export const fromPeerRow = ([address, availabilityZone]: PeerRow): EntryPeer => ({ address, availabilityZone });
