/** The entry hosts attached to one state host: tracks what each has received and sends what is missing. */
import {
    concernsOtherZones,
    HostRole,
    isHigherNumber,
    LinkMessageKind,
    toLimitShareRow,
    toPeerRow,
    toQuarantinedRow,
    toServerRow,
} from "@cassiapick/core";
import type {
    ConfigNumber,
    EntryHello,
    EntryPeer,
    EntryPeers,
    EvidenceRow,
    FleetMachine,
    GatewayConfig,
    HostAnnouncement,
    LimitShares,
    LinkMessage,
    RecordedQuarantine,
    ReportRow,
    StateHostContact,
} from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";
import { encodeCompactFrame } from "@cassiapick/wire";
import type { Link } from "@cassiapick/wire";
import { createConfigFrames } from "./config-frames.js";

/** Options of {@link createEntryLinks}. */
export interface EntryLinksOptions {
    /** Where the state host is. */
    availabilityZone: string;
    /** Monotonic time in milliseconds. */
    clock: () => number;
    /** Wall-clock time in milliseconds since 1970. */
    wallClock: () => number;
    log: EventLog;
}

/** State of the fleet that entry hosts need. */
export interface FleetSnapshot {
    fleet: FleetMachine;
    config: GatewayConfig | undefined;
    contacts: StateHostContact[];
    /** Number of entry hosts in the fleet. */
    entryHosts: number;
    limitShares: LimitShares;
    entryPeers: EntryPeers;
    /** The quarantined requests; the same object while none changes. */
    quarantined: ReadonlyMap<string, RecordedQuarantine>;
}

/** The attached entry hosts. */
export interface EntryLinks {
    /** Adds the host of a new link; returns its announcement. */
    addHost(link: Link, hello: EntryHello, now: number): HostAnnouncement;
    /** Returns the host of a link; `undefined` if the link has not received a hello. */
    hostOf(link: Link): HostAnnouncement | undefined;
    /** Records a host's new phase; returns its updated announcement. */
    setPhase(link: Link, phase: HostAnnouncement["state"]): HostAnnouncement | undefined;
    /** Removes the host of a closed link; returns it unless it is attached by another link. */
    removeHost(link: Link): HostAnnouncement | undefined;
    /**
     * Sends each host the differences between `snapshot` and what it has received. Hosts of other availability zones that hold
     * a configuration receive them in periodic calls only, as many small updates cost more bytes than a few.
     */
    sendUpdates(snapshot: FleetSnapshot, now: number, isPeriodic?: boolean): void;
    /**
     * Sends the upper bound of the view's age to the hosts that were sent the whole view. The others get a heartbeat, as what
     * they hold may be older. With `onlyTo`, nothing is sent to other links.
     */
    sendViewAge(ageMs: number, onlyTo?: Link): void;
    /** Queues reports of an attached host. */
    addReports(link: Link, rows: readonly ReportRow[]): void;
    /** Relays the queued reports to the other attached hosts; returns those with failures. */
    relayReports(): ReportRow[];
    /** Passes evidence about requests on to the attached hosts, except the one that it came from. */
    relayEvidence(rows: readonly EvidenceRow[], from?: Link): void;
    /** Relays outcomes from other state hosts to the attached hosts. */
    relayOutcomes(rows: readonly ReportRow[]): void;
    size(): number;
}

interface AttachedHost {
    /** Short key that stands for the host in relayed reports. */
    key: number;
    /** When the host attached, in milliseconds. */
    attachedAt: number;
    host: HostAnnouncement;
    /** `undefined` until the host has a configuration. */
    configNumber: ConfigNumber | undefined;
    serversRevision: number;
    /** The contacts sent last, as JSON; "" before the first ones. */
    sentContacts: string;
    /** The number of entry hosts sent last. */
    sentEntryHosts: number;
    contactsSentAt: number;
    /** When the host was first told of a state host of its own availability zone; `undefined` before that. */
    nearHostSince: number | undefined;
    /** The shares of limits sent last, as JSON; "" before the first ones. */
    sentShares: string;
    /** The list of peers sent last. */
    sentPeers: readonly EntryPeer[];
    /** Whether the host understands shares of limits. */
    takesLimits: boolean;
    /** Whether the host understands evidence about requests. */
    takesEvidence: boolean;
    /** The quarantined requests sent last; `undefined` before the first ones. */
    sentQuarantined: ReadonlyMap<string, RecordedQuarantine> | undefined;
    /** Whether servers and configuration were sent up to the latest snapshot. */
    isUpToDate: boolean;
    pendingReports: ReportRow[];
    /** Whether other hosts were sent reports of this one. */
    hasReported: boolean;
}

/** Time for a host to move to a nearer state host, in milliseconds: a round trip, its next check and connection setup. */
const moveTimeoutMs = 350;

/** While only the number of entry hosts changes, hosts of other availability zones are sent it this often, in milliseconds. */
const farCountIntervalMs = 2000;

const namesHostOf = (contacts: readonly StateHostContact[], availabilityZone: string): boolean =>
    contacts.some(contact => contact.availabilityZone === availabilityZone);

/** Creates the message with the age of a view, in milliseconds; `Infinity` if no majority confirms it. */
export const viewAgeMessage = (ageMs: number): LinkMessage => ({
    k: LinkMessageKind.ViewAge,
    ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : -1,
});

/** Creates the empty set of a state host. */
export const createEntryLinks = ({ availabilityZone, clock, wallClock, log }: EntryLinksOptions): EntryLinks => {
    const attachedHosts = new Map<Link, AttachedHost>();
    const configFrames = createConfigFrames();
    let nextKey = 1;

    /** Whether a host will probably move to a state host of its own availability zone, so that further updates would be wasted. */
    const isExpectedToMove = (attachedHost: AttachedHost, now: number): boolean => {
        const { attachedAt, nearHostSince, configNumber, host } = attachedHost;
        return host.availabilityZone !== availabilityZone && nearHostSince !== undefined
            && now - (configNumber === undefined ? nearHostSince : attachedAt) < moveTimeoutMs;
    };

    /**
     * Whether a host gets no update before the next periodic call. It is told at once of the first state host of its own
     * availability zone, and receives its first configuration at once.
     */
    const isDeferred = (attachedHost: AttachedHost, snapshot: FleetSnapshot, now: number): boolean => {
        const { host, sentContacts, nearHostSince, configNumber } = attachedHost;
        const isNear = host.availabilityZone === availabilityZone;
        const hasNewNearHost = nearHostSince === undefined && namesHostOf(snapshot.contacts, host.availabilityZone);
        if (isNear || sentContacts === "" || hasNewNearHost) {
            return false;
        }
        return configNumber !== undefined || snapshot.config === undefined || isExpectedToMove(attachedHost, now);
    };

    const sendContacts = (link: Link, attachedHost: AttachedHost, snapshot: FleetSnapshot, text: string, now: number): void => {
        const { contacts, entryHosts } = snapshot;
        const isFar = attachedHost.host.availabilityZone !== availabilityZone;
        const isCountDue = entryHosts !== attachedHost.sentEntryHosts
            && (!isFar || now - attachedHost.contactsSentAt >= farCountIntervalMs);
        if (text === attachedHost.sentContacts && !isCountDue) {
            return;
        }
        attachedHost.contactsSentAt = now;
        link.send({ k: LinkMessageKind.Contacts, contacts, entryHosts } satisfies LinkMessage);
        attachedHost.sentContacts = text;
        attachedHost.sentEntryHosts = entryHosts;
        if (namesHostOf(contacts, attachedHost.host.availabilityZone)) {
            attachedHost.nearHostSince ??= now;
        }
    };

    const sendLimitShares = (link: Link, attachedHost: AttachedHost, limitShares: LimitShares): void => {
        if (!attachedHost.takesLimits) {
            return;
        }
        const rows = limitShares.of(attachedHost.host.hostId).map(toLimitShareRow);
        const text = JSON.stringify(rows);
        if (text !== attachedHost.sentShares) {
            link.send({ k: LinkMessageKind.LimitShares, r: rows } satisfies LinkMessage);
            attachedHost.sentShares = text;
        }
    };

    const sendPeers = (link: Link, attachedHost: AttachedHost, entryPeers: EntryPeers): void => {
        const { host, sentPeers } = attachedHost;
        // The list of a host is the same object while no host changes.
        const peers = host.forwardAddress === undefined ? sentPeers : entryPeers.of(host);
        if (peers === sentPeers) {
            return;
        }
        attachedHost.sentPeers = peers;
        if (JSON.stringify(peers) !== JSON.stringify(sentPeers)) {
            link.send({ k: LinkMessageKind.Peers, p: peers.map(toPeerRow) } satisfies LinkMessage);
        }
    };

    const sendQuarantined = (link: Link, attachedHost: AttachedHost, quarantined: FleetSnapshot["quarantined"]): void => {
        if (!attachedHost.takesEvidence || quarantined === attachedHost.sentQuarantined) {
            return;
        }
        attachedHost.sentQuarantined = quarantined;
        const q = [...quarantined.values()].map(({ trialAt, ...request }) =>
            toQuarantinedRow({ ...request, trialInMs: Math.max(0, trialAt - wallClock()) })
        );
        link.send({ k: LinkMessageKind.Quarantined, q } satisfies LinkMessage);
    };

    const sendUpdates = (snapshot: FleetSnapshot, now: number, isPeriodic = false): void => {
        const { fleet, config, contacts, limitShares, entryPeers } = snapshot;
        if (config !== undefined) {
            configFrames.setLatest(config);
        }
        const contactsText = JSON.stringify(contacts);
        const revision = fleet.serversRevision();
        const startedAt = clock();
        let receivers = 0;
        for (const [link, attachedHost] of attachedHosts) {
            if (!isPeriodic && isDeferred(attachedHost, snapshot, now)) {
                attachedHost.isUpToDate = false;
                continue;
            }
            sendContacts(link, attachedHost, snapshot, contactsText, now);
            attachedHost.isUpToDate = !isExpectedToMove(attachedHost, now);
            if (!attachedHost.isUpToDate) {
                continue;
            }
            // A host runs waiting requests as soon as it has a configuration, so the servers are sent first.
            if (revision > attachedHost.serversRevision) {
                const rows = fleet.serversChangedSince(attachedHost.serversRevision).map(toServerRow);
                link.send({ k: LinkMessageKind.Servers, rows, revision } satisfies LinkMessage);
                attachedHost.serversRevision = revision;
            }
            sendLimitShares(link, attachedHost, limitShares);
            sendPeers(link, attachedHost, entryPeers);
            sendQuarantined(link, attachedHost, snapshot.quarantined);
            const heldNumber = attachedHost.configNumber;
            if (config !== undefined && (heldNumber === undefined || isHigherNumber(config.number, heldNumber))) {
                const { frame, message } = configFrames.frameFor(heldNumber);
                link.sendFrame(frame, message);
                attachedHost.configNumber = config.number;
                receivers += 1;
            }
        }
        if (config !== undefined && receivers > 0) {
            log.log("configurationSent", { number: config.number, receivers, tookMs: Math.round(clock() - startedAt) });
        }
    };

    const broadcast = (message: LinkMessage): void => {
        const frame = encodeCompactFrame(message);
        for (const link of attachedHosts.keys()) {
            link.sendFrame(frame, message);
        }
    };

    const relayReports = (): ReportRow[] => {
        const reportingHosts = [...attachedHosts.values()].filter(attachedHost => attachedHost.pendingReports.length > 0);
        if (reportingHosts.length === 0) {
            return [];
        }
        for (const [link, attachedHost] of attachedHosts) {
            const h = reportingHosts.filter(other => other !== attachedHost).map((
                other,
            ): [number, ReportRow[]] => [other.key, other.pendingReports]);
            if (h.length > 0) {
                link.send({ k: LinkMessageKind.RelayedReports, h } satisfies LinkMessage);
            }
        }
        const outcomes = reportingHosts.flatMap(attachedHost => attachedHost.pendingReports.filter(concernsOtherZones));
        for (const attachedHost of reportingHosts) {
            attachedHost.pendingReports = [];
            attachedHost.hasReported = true;
        }
        return outcomes;
    };

    return {
        addHost: (link, hello, now) => {
            const { hostId, address, forwardAddress, availabilityZone, region, startedAt, phase } = hello;
            const { configNumber, serversRevision } = hello;
            const role = HostRole.Entry;
            const host = { hostId, role, address, forwardAddress, availabilityZone, region, startedAt, state: phase };
            attachedHosts.set(link, {
                key: nextKey,
                attachedAt: now,
                host,
                // The configuration 0 looks like none and is sent once more.
                configNumber: configNumber === 0 ? undefined : configNumber,
                serversRevision,
                sentContacts: "",
                sentEntryHosts: 0,
                contactsSentAt: -Infinity,
                nearHostSince: undefined,
                sentShares: "",
                sentPeers: [],
                takesLimits: hello.takesLimits === true,
                takesEvidence: hello.takesEvidence === true,
                sentQuarantined: undefined,
                isUpToDate: false,
                pendingReports: [],
                hasReported: false,
            });
            nextKey += 1;
            return host;
        },
        hostOf: link => attachedHosts.get(link)?.host,
        setPhase: (link, phase) => {
            const attachedHost = attachedHosts.get(link);
            if (attachedHost !== undefined) {
                attachedHost.host = { ...attachedHost.host, state: phase };
            }
            return attachedHost?.host;
        },
        removeHost: link => {
            const attachedHost = attachedHosts.get(link);
            if (attachedHost === undefined) {
                return undefined;
            }
            attachedHosts.delete(link);
            if (attachedHost.hasReported) {
                broadcast({ k: LinkMessageKind.HostLeft, h: attachedHost.key });
            }
            // The host may already be attached again by a newer link.
            const isStillAttached = [...attachedHosts.values()].some(other => other.host.hostId === attachedHost.host.hostId);
            return isStillAttached ? undefined : attachedHost.host;
        },
        sendUpdates,
        sendViewAge: (ageMs, onlyTo) => {
            const viewAge = viewAgeMessage(ageMs);
            const viewAgeFrame = encodeCompactFrame(viewAge);
            const heartbeat: LinkMessage = { k: LinkMessageKind.Heartbeat };
            const heartbeatFrame = encodeCompactFrame(heartbeat);
            for (const [link, { isUpToDate }] of attachedHosts) {
                if (onlyTo !== undefined && link !== onlyTo) {
                    continue;
                }
                link.sendFrame(isUpToDate ? viewAgeFrame : heartbeatFrame, isUpToDate ? viewAge : heartbeat);
            }
        },
        addReports: (link, rows) => {
            attachedHosts.get(link)?.pendingReports.push(...rows);
        },
        relayReports,
        relayEvidence: (rows, from) => {
            const message: LinkMessage = { k: LinkMessageKind.RequestEvidence, r: [...rows] };
            const frame = encodeCompactFrame(message);
            for (const [link, { takesEvidence }] of attachedHosts) {
                if (takesEvidence && link !== from) {
                    link.sendFrame(frame, message);
                }
            }
        },
        relayOutcomes: rows => {
            if (rows.length > 0) {
                broadcast({ k: LinkMessageKind.RemoteOutcomes, r: [...rows] });
            }
        },
        size: () => attachedHosts.size,
    };
};
