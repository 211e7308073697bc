/** Listens to one state host at a time, and tells it what this host sees. */
import { createStateHostSelector, isLinkMessage, LinkMessageKind, toReportRow } from "@cassiapick/core";
import type { EntryHello, HostPhase, LinkMessage, Random, ServerReport } from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";
import { openLink, splitAddress } from "@cassiapick/wire";
import type { Link } from "@cassiapick/wire";

/** Options of {@link createStateLink}. */
export interface StateLinkOptions {
    availabilityZone: string;
    region: string;
    /** State hosts to try first, as "host:port". */
    seeds: readonly string[];
    localAddress: string;
    random: Random;
    clock: () => number;
    log: EventLog;
    /** What this host says of itself when a connection opens. */
    hello: () => EntryHello;
    /** Takes messages other than those about the link itself. */
    receive: (message: LinkMessage) => void;
    /** The reported load of other hosts no longer counts. */
    detached: () => void;
    drainReports: () => ServerReport[];
}

/** The connection to the state hosts. */
export interface StateLink {
    /** Age of what is known of the fleet, in milliseconds. */
    ageMs(): number;
    setSeeds(seeds: readonly string[]): void;
    tellPhase(phase: HostPhase): void;
    /** Reports at once what has been seen, so that other hosts avoid a server that has just failed. */
    reportNow(): void;
    close(): void;
}

const connectTimeoutMs = 600;
/** The state host tells the age of its view more often than this, in milliseconds. */
const silenceMs = 1300;
const checkMs = 100;
/** Reports go out at most this often, in milliseconds. */
const reportMs = 100;
/** With nothing to report, a sign of life goes out this often, in milliseconds. */
const aliveMs = 800;
/** With a view older than this, in milliseconds, the log says so. */
const staleMs = 2000;

/** Creates the connection; it looks for a state host until it is closed. */
export const createStateLink = (options: StateLinkOptions): StateLink => {
    const { clock, log } = options;
    const attachment = createStateHostSelector(options);
    let link: Link | undefined;
    let isOpen = false;
    let sentAt = 0;
    let isStale = true;

    const send = (message: LinkMessage): void => {
        if (isOpen && link !== undefined) {
            link.send(message);
            sentAt = clock();
        }
    };

    const receive = (address: string, message: unknown): void => {
        if (!isLinkMessage(message)) {
            log.log("peerRejected", { reason: "The message is of no kind that this version knows.", address });
            link?.close();
            return;
        }
        if (message.k === LinkMessageKind.ViewAge) {
            attachment.viewConfirmed(address, message.ageMs < 0 ? Infinity : message.ageMs, clock());
            return;
        }
        if (message.k === LinkMessageKind.Contacts) {
            attachment.setContacts(message.contacts);
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
                    attachment.partReceived(address, clock());
                }
            },
            onClose: (closed, reason) => {
                if (closed !== link) {
                    return;
                }
                link = undefined;
                isOpen = false;
                attachment.connectionLost(address, clock());
                options.detached();
                log.log("stateHostLost", { address, reason, viewAgeMs: roundedAge() });
            },
        });
    };

    const roundedAge = (): number | undefined => {
        const age = attachment.viewAgeMs(clock());
        return Number.isFinite(age) ? Math.round(age) : undefined;
    };

    const noteAge = (): void => {
        const nowStale = attachment.viewAgeMs(clock()) > staleMs;
        if (nowStale !== isStale) {
            isStale = nowStale;
            log.log(nowStale ? "viewStale" : "viewFresh", { viewAgeMs: roundedAge(), address: attachment.currentAddress() });
        }
    };

    const check = (): void => {
        const address = attachment.nextAddress(clock());
        if (address !== undefined) {
            attach(address);
        }
        noteAge();
    };

    const report = (): void => {
        if (!isOpen) {
            return;
        }
        const reports = options.drainReports();
        if (reports.length > 0) {
            send({ k: LinkMessageKind.Report, r: reports.map(toReportRow) });
        }
        else if (clock() - sentAt > aliveMs) {
            send({ k: LinkMessageKind.Heartbeat });
        }
    };

    const timers = [setInterval(check, checkMs), setInterval(report, reportMs)];
    check();

    return {
        ageMs: () => attachment.viewAgeMs(clock()),
        setSeeds: seeds => attachment.setSeeds(seeds),
        reportNow: report,
        tellPhase: phase => send({ k: LinkMessageKind.Phase, phase }),
        close: () => {
            for (const timer of timers) {
                clearInterval(timer);
            }
            const closing = link;
            link = undefined;
            closing?.close();
        },
    };
};
