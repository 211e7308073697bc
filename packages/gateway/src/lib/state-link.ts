/** Keeps an entry host attached to one state host at a time: receives its updates and sends reports to it. */
import { createStateHostSelector, isLinkMessage, LinkMessageKind, toReportRow } from "@cassiapick/core";
import type { EntryHello, HostPhase, LinkMessage, Random, ServerReport } from "@cassiapick/core";
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
    /** Returns the reports collected since the last call. */
    drainReports: () => ServerReport[];
}

/** The attachment to the state hosts. */
export interface StateLink {
    /** Age of this host's view of the fleet, in milliseconds. */
    viewAgeMs(): number;
    setSeeds(seeds: readonly string[]): void;
    sendPhase(phase: HostPhase): void;
    /** Sends collected reports immediately, so that other hosts avoid a server that has just failed. */
    sendReportsNow(): void;
    close(): void;
}

const connectTimeoutMs = 600;
/** Longer than the interval at which a state host sends the age of its view, in milliseconds. */
const silenceMs = 1300;
const checkIntervalMs = 100;
/** Interval at which collected reports are sent, in milliseconds. */
const reportIntervalMs = 100;
/** A heartbeat is sent after this long without any other message, in milliseconds. */
const heartbeatIntervalMs = 800;
/** A view older than this is logged as stale, in milliseconds. */
const staleViewMs = 2000;

/** Creates the attachment; it connects and reconnects to state hosts until it is closed. */
export const createStateLink = (options: StateLinkOptions): StateLink => {
    const { clock, log } = options;
    const hostSelector = createStateHostSelector(options);
    let link: Link | undefined;
    let isOpen = false;
    let lastSentAt = 0;
    let isStale = true;

    const send = (message: LinkMessage): void => {
        if (isOpen && link !== undefined) {
            link.send(message);
            lastSentAt = clock();
        }
    };

    const receive = (address: string, message: unknown): void => {
        if (!isLinkMessage(message)) {
            log.log("peerRejected", { reason: "This version does not support the kind of the message.", address });
            link?.close();
            return;
        }
        if (message.k === LinkMessageKind.ViewAge) {
            hostSelector.viewConfirmed(address, message.ageMs < 0 ? Infinity : message.ageMs, clock());
            return;
        }
        if (message.k === LinkMessageKind.Contacts) {
            hostSelector.setContacts(message.contacts);
        }
        options.receive(message);
    };

    const attach = (address: string): void => {
        link?.close();
        isOpen = false;
        const { host, port } = splitAddress(address);
        link = openLink({ host, port, localAddress: options.localAddress, connectTimeoutMs, receiveTimeoutMs: silenceMs }, {
            onOpen: opened => {
                if (opened !== link) {
                    return;
                }
                isOpen = true;
                const hello = options.hello();
                log.log("stateHostAttached", {
                    address,
                    configNumber: hello.configNumber,
                    serversRevision: hello.serversRevision,
                });
                send(hello);
            },
            onMessage: (from, message) => {
                if (from === link) {
                    receive(address, message);
                }
            },
            onPartReceived: from => {
                if (from === link) {
                    hostSelector.partReceived(address, clock());
                }
            },
            onClose: (closed, reason) => {
                if (closed !== link) {
                    return;
                }
                link = undefined;
                isOpen = false;
                hostSelector.connectionLost(address, clock());
                options.onDetached();
                log.log("stateHostLost", { address, reason, viewAgeMs: roundedViewAgeMs() });
            },
        });
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
        const attachedAddress = hostSelector.currentAddress();
        const address = hostSelector.nextAddress(clock());
        if (address !== undefined) {
            log.log("stateHostTried", { address, attachedAddress, viewAgeMs: roundedViewAgeMs() });
            attach(address);
        }
        logFreshnessChange();
    };

    const sendReports = (): void => {
        if (!isOpen) {
            return;
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
        sendPhase: phase => send({ k: LinkMessageKind.Phase, phase }),
        close: () => {
            for (const timer of timers) {
                clearInterval(timer);
            }
            const closingLink = link;
            link = undefined;
            closingLink?.close();
        },
    };
};
