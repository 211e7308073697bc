/** Keeps an entry host attached to one state host at a time: receives its updates and sends reports to it. */
import {
    createLinkTraffic,
    createStateHostSelector,
    isLinkMessage,
    linkDistance,
    LinkMessageKind,
    toLimitReportRow,
    toReportRow,
} from "@cassiapick/core";
import type { EntryHello, HostPhase, LimitReport, LinkMessage, Random, ServerReport, StateHostContact } from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";
import { openLink, splitAddress } from "@cassiapick/wire";
import type { Link } from "@cassiapick/wire";

/** Options of {@link createStateLink}. */
export interface StateLinkOptions {
    availabilityZone: string;
    region: string;
    /** State hosts to connect to first, as "host:port". */
    seeds: readonly string[];
    localAddress: string;
    random: Random;
    clock: () => number;
    log: EventLog;
    /** Returns the first message on a new connection. */
    hello: () => EntryHello;
    /** Handles each message except the view's age. */
    receive: (message: LinkMessage) => void;
    /** Called when the connection is lost; the load that other hosts reported no longer counts. */
    onDetached: () => void;
    /** Called when a state host that understands asks for tokens is attached; asks to earlier ones are lost. */
    onQuotaLink: () => void;
    /** Returns the reports collected since the last call. */
    drainReports: () => ServerReport[];
    /** Returns the limits of servers that the state hosts don't know yet. */
    drainLimitReports: () => LimitReport[];
}

/** The attachment to the state hosts. */
export interface StateLink {
    /** Age of this host's view of the fleet, in milliseconds. */
    viewAgeMs(): number;
    setSeeds(seeds: readonly string[]): void;
    sendPhase(phase: HostPhase): void;
    /** Sends a message about requests that may end servers, if the state host understands it. */
    sendEvidence(message: Extract<LinkMessage, { k: LinkMessageKind.RequestEvidence | LinkMessageKind.Quarantined; }>): void;
    /** Sends an ask for tokens of workspaces; returns whether there is a state host that understands it. */
    sendQuotaAsk(message: LinkMessage): boolean;
    /** Whether messages about requests reach the other entry hosts. */
    takesEvidence(): boolean;
    /** Sends collected reports immediately, so that other hosts avoid a server that has just failed. */
    sendReportsNow(): void;
    /** The age of the view, and what was sent to state hosts by kind and distance, for the metrics endpoint. */
    gauges(): Record<string, number>;
    close(): void;
}

const connectTimeoutMs = 600;
/** A state host that was asked for the age of its view has this long to connect and to answer. */
const answerTimeoutMs = 700;
/** Longer than the interval at which a state host sends the age of its view, in milliseconds. */
const silenceMs = 1300;
const checkIntervalMs = 100;
/** Interval at which collected reports are sent, in milliseconds. */
const reportIntervalMs = 100;
/** A heartbeat is sent after this long without any other message, in milliseconds. */
const heartbeatIntervalMs = 800;
/** A view older than this is logged as stale, in milliseconds. */
const staleViewMs = 2000;

/** An open link to a state host that was asked for the age of its view. */
interface AskedHost {
    link: Link;
    askedAt: number;
}

/** Creates the attachment; it connects and reconnects to state hosts until it is closed. */
export const createStateLink = (options: StateLinkOptions): StateLink => {
    const { clock, log } = options;
    const hostSelector = createStateHostSelector(options);
    /** The link of the state host that this host is attached to. */
    let attachedLink: Link | undefined;
    const askedHosts = new Map<string, AskedHost>();
    let lastSentAt = 0;
    /** The link of a state host that understands messages about requests, which it shows by sending one. */
    let evidenceLink: Link | undefined;
    /** The link of a state host that understands asks for tokens, which it shows by granting some or none. */
    let quotaLink: Link | undefined;
    let isStale = true;
    const traffic = createLinkTraffic();
    let contacts: readonly StateHostContact[] = [];

    const send = (message: LinkMessage): void => {
        if (attachedLink !== undefined) {
            attachedLink.send(message);
            lastSentAt = clock();
        }
    };

    /** Attaches to a state host that was asked, and leaves the previous one. */
    const attach = (address: string, link: Link): void => {
        const previousLink = attachedLink;
        attachedLink = link;
        if (previousLink !== undefined) {
            options.onDetached();
            previousLink.close();
        }
        const hello = options.hello();
        log.log("stateHostAttached", {
            address,
            configNumber: hello.configNumber,
            serversRevision: hello.serversRevision,
        });
        send(hello);
    };

    /** Handles the answer of a state host that was asked: attaches to it if it was selected, and closes the link otherwise. */
    const receiveAnswer = (address: string, link: Link, ageMs: number): void => {
        askedHosts.delete(address);
        hostSelector.viewConfirmed(address, ageMs, clock());
        if (hostSelector.currentAddress() === address) {
            attach(address, link);
        }
        else {
            const reportedAgeMs = Number.isFinite(ageMs) ? ageMs : undefined;
            log.log("stateHostNotChosen", { address, reportedAgeMs, viewAgeMs: roundedViewAgeMs() });
            link.close();
        }
    };

    const receive = (address: string, link: Link, message: unknown): void => {
        if (!isLinkMessage(message)) {
            log.log("peerRejected", { reason: "This version does not support the kind of the message.", address });
            link.close();
            return;
        }
        const isAttached = link === attachedLink;
        if (message.k === LinkMessageKind.ViewAge) {
            const ageMs = message.ageMs < 0 ? Infinity : message.ageMs;
            if (isAttached) {
                hostSelector.viewConfirmed(address, ageMs, clock());
            }
            else if (askedHosts.get(address)?.link === link) {
                receiveAnswer(address, link, ageMs);
            }
            return;
        }
        if (!isAttached) {
            return;
        }
        if (message.k === LinkMessageKind.Contacts) {
            contacts = message.contacts;
            hostSelector.setContacts(contacts);
        }
        if (message.k === LinkMessageKind.Quarantined) {
            evidenceLink = link;
        }
        if (message.k === LinkMessageKind.QuotaGrant && quotaLink !== link) {
            quotaLink = link;
            options.onQuotaLink();
        }
        options.receive(message);
    };

    const takesEvidence = (): boolean => attachedLink !== undefined && attachedLink === evidenceLink;

    const ask = (address: string): void => {
        const { host, port } = splitAddress(address);
        const link = openLink({ host, port, localAddress: options.localAddress, connectTimeoutMs, receiveTimeoutMs: silenceMs }, {
            onOpen: opened => opened.send({ k: LinkMessageKind.ViewQuery } satisfies LinkMessage),
            onMessage: (from, message) => receive(address, from, message),
            onSent: (_link, message, bytes) => {
                const contact = contacts.find(candidate => candidate.address === address);
                traffic.sent(message, bytes, linkDistance(options, contact));
            },
            onPartReceived: from => {
                if (from === attachedLink) {
                    hostSelector.partReceived(address, clock());
                }
            },
            onClose: (closed, reason) => {
                if (closed === attachedLink) {
                    attachedLink = undefined;
                    options.onDetached();
                }
                else if (askedHosts.get(address)?.link === closed) {
                    askedHosts.delete(address);
                }
                else {
                    return;
                }
                hostSelector.connectionLost(address, clock());
                log.log("stateHostLost", { address, reason, viewAgeMs: roundedViewAgeMs() });
            },
        });
        askedHosts.set(address, { link, askedAt: clock() });
    };

    const closeUnanswered = (): void => {
        for (const { link, askedAt } of askedHosts.values()) {
            if (clock() - askedAt > answerTimeoutMs) {
                link.close();
            }
        }
    };

    const roundedViewAgeMs = (): number | undefined => {
        const ageMs = hostSelector.viewAgeMs(clock());
        return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
    };

    const logFreshnessChange = (): void => {
        const isNowStale = hostSelector.viewAgeMs(clock()) > staleViewMs;
        if (isNowStale !== isStale) {
            isStale = isNowStale;
            log.log(isNowStale ? "viewStale" : "viewFresh", {
                viewAgeMs: roundedViewAgeMs(),
                address: hostSelector.currentAddress(),
            });
        }
    };

    const checkAttachment = (): void => {
        closeUnanswered();
        const attachedAddress = hostSelector.currentAddress();
        const address = hostSelector.nextAddress(clock());
        if (address !== undefined) {
            log.log("stateHostTried", { address, attachedAddress, viewAgeMs: roundedViewAgeMs() });
            ask(address);
        }
        logFreshnessChange();
    };

    const sendReports = (): void => {
        if (attachedLink === undefined) {
            return;
        }
        const limitReports = options.drainLimitReports();
        if (limitReports.length > 0) {
            send({ k: LinkMessageKind.ServerLimits, r: limitReports.map(toLimitReportRow) });
        }
        const reports = options.drainReports();
        if (reports.length > 0) {
            send({ k: LinkMessageKind.Report, r: reports.map(toReportRow) });
        }
        else if (clock() - lastSentAt > heartbeatIntervalMs) {
            send({ k: LinkMessageKind.Heartbeat });
        }
    };

    const timers = [setInterval(checkAttachment, checkIntervalMs), setInterval(sendReports, reportIntervalMs)];
    checkAttachment();

    return {
        viewAgeMs: () => hostSelector.viewAgeMs(clock()),
        setSeeds: seeds => hostSelector.setSeeds(seeds),
        sendReportsNow: sendReports,
        takesEvidence,
        // -1 if the view age is unknown.
        gauges: () => ({ cassiapick_view_age_ms: roundedViewAgeMs() ?? -1, ...traffic.gauges() }),
        sendEvidence: message => {
            if (takesEvidence()) {
                send(message);
            }
        },
        sendQuotaAsk: message => {
            const isOpen = attachedLink !== undefined && attachedLink === quotaLink;
            if (isOpen) {
                send(message);
            }
            return isOpen;
        },
        sendPhase: phase => send({ k: LinkMessageKind.Phase, phase }),
        close: () => {
            for (const timer of timers) {
                clearInterval(timer);
            }
            const links = [attachedLink, ...[...askedHosts.values()].map(({ link }) => link)];
            attachedLink = undefined;
            askedHosts.clear();
            links.forEach(link => link?.close());
        },
    };
};
