/** A running state host of a fleet that serves published configurations. */
import {
    createLivenessMonitor,
    entryAddressesForCaller,
    HostPhase,
    HostRole,
    isLinkMessage,
    LinkMessageKind,
    nearestStateHost,
    StateReplyKind,
    StateRequestKind,
} from "@cassiapick/core";
import type {
    EntryHello,
    FleetMachine,
    GatewayConfig,
    HostAnnouncement,
    LinkMessage,
    StateHostContact,
    StateReply,
} from "@cassiapick/core";
import { createStateDriver, isPeerMessage } from "@cassiapick/state";
import { createLinkServer, encodeFrame, splitAddress } from "@cassiapick/wire";
import type { Link } from "@cassiapick/wire";
import { ControlOutcome } from "./control-contract.js";
import type { ControlHost, ControlHostOptions } from "./control-contract.js";
import { createEntryLinks } from "./entry-links.js";
import { createFactDesk } from "./fact-desk.js";
import { createPeerLinks } from "./peer-links.js";

/** How often the agreed view is compared with what this host sees, in milliseconds. */
const compareMs = 300;
/** How often reports of entry hosts are passed on, in milliseconds: well below the time between two requests to a server. */
const passReportsMs = 100;
/** How often entry hosts are told how old the view may be, in milliseconds. */
const tellViewMs = 400;
/** An entry host that says nothing for this long has failed, in milliseconds. */
const entrySilenceMs = 2200;
/** Consensus messages that come within this time share a receipt, in milliseconds. */
const receiptMs = 400;
const tickMs = 50;
/** How long an announcement waits to be agreed on, in milliseconds: its sender turns to another host after a second. */
const answerWithinMs = 900;

const isDone = (reply: StateReply): boolean => reply.kind === StateReplyKind.Recorded;

/** Starts a state host that serves once the promise resolves. */
export const startControlHost = async (options: ControlHostOptions): Promise<ControlHost> => {
    const { hostId, clock, wallClock, log } = options;
    const startedAt = wallClock();
    const { host, port } = splitAddress(hostId);
    const peers = createPeerLinks({ hostId, localAddress: host, clock });
    const entries = createEntryLinks(options.availabilityZone);
    const keeper = createLivenessMonitor({ stateHostId: hostId, heartbeatMs: options.heartbeatMs, wallClock });
    const peerNames = new Map<Link, string>();
    const unconfirmed = new Set<Link>();
    const heardAt = new Map<Link, number>();
    let latest: GatewayConfig | undefined;
    let stopping = false;

    const driver = createStateDriver({
        nodeCfg: {
            hostId,
            hostIds: options.seeds,
            random: options.random,
            wallClock,
            timing: options.timing,
            replacement: { minVoters: options.minVoters, absenceTimeoutMs: 8000 },
        },
        folder: options.folder,
        clock,
        log,
        tickIntervalMs: tickMs,
        send: (to, message) => peers.send(to, message),
        onStepped: () => brief(),
        onStorageFailed: err => log.log("storageSuspended", { message: err.message }),
        reopenFolder: options.reopen,
    });

    const configOf = (fleet: FleetMachine): GatewayConfig | undefined => {
        const published = fleet.published();
        if (published !== undefined && published.number !== latest?.number) {
            latest = options.readDocument(published);
            log.log("configurationInForce", { number: published.number, routes: latest.routes.length });
        }
        return latest;
    };

    const contactsOf = (fleet: FleetMachine): StateHostContact[] => {
        const known = [...fleet.hosts()].filter(record => record.role === HostRole.State);
        const voters = new Set(driver.voters());
        return known.filter(record => voters.has(record.hostId) && record.state !== HostPhase.Departed)
            .map(({ hostId: address, availabilityZone, region }) => ({ address, availabilityZone, region }));
    };

    const brief = (): void => {
        const fleet = driver.fleet();
        if (fleet === undefined || entries.size() === 0) {
            return;
        }
        const hosts = [...fleet.hosts()];
        const entryHosts = hosts.filter(record => record.role === HostRole.Entry && record.state !== HostPhase.Departed).length;
        entries.brief({ fleet, config: configOf(fleet), contacts: contactsOf(fleet), entryHosts }, clock());
    };

    const withinTime = (reply: Promise<StateReply>): Promise<ControlOutcome> =>
        new Promise(resolve => {
            const timer = setTimeout(() => resolve(ControlOutcome.Unavailable), answerWithinMs);
            void reply.then(settled => {
                clearTimeout(timer);
                resolve(isDone(settled) ? ControlOutcome.Done : ControlOutcome.Unavailable);
            });
        });

    const record = createFactDesk(facts => driver.handleRequest({ kind: StateRequestKind.Facts, facts }));

    const selfAnnouncement = (): HostAnnouncement => ({
        hostId,
        role: HostRole.State,
        address: hostId,
        availabilityZone: options.availabilityZone,
        region: options.region,
        state: stopping ? HostPhase.Leaving : HostPhase.Ready,
        startedAt,
    });
    keeper.hostAttached(selfAnnouncement());

    let comparing = false;
    const compare = async (): Promise<void> => {
        const fleet = driver.fleet();
        if (fleet === undefined || comparing || driver.status().leaderId === undefined) {
            return;
        }
        const facts = keeper.missingFacts(fleet, clock());
        if (facts.length > 0) {
            comparing = true;
            await record(facts);
            comparing = false;
        }
    };

    const noteEntry = (announcement: HostAnnouncement | undefined): void => {
        if (announcement !== undefined) {
            keeper.hostAttached(announcement);
            void compare();
        }
    };

    /** Every message is followed by a receipt, and messages that come together share one. */
    const confirm = (link: Link): void => {
        if (!unconfirmed.has(link)) {
            unconfirmed.add(link);
            setTimeout(() => {
                unconfirmed.delete(link);
                link.send({ k: LinkMessageKind.Ack } satisfies LinkMessage);
            }, receiptMs);
        }
    };

    const openEntry = (link: Link, hello: EntryHello): void => {
        noteEntry(entries.open(link, hello, clock()));
        log.log("hostChanged", { host: hello.hostId, change: "attached", phase: hello.phase });
        // The view goes first: it tells the host that it need not look further while a long briefing comes in.
        tellView();
        brief();
    };

    type Handlers = { [K in LinkMessageKind]?: (link: Link, message: Extract<LinkMessage, { k: K; }>) => void; };
    const handlers: Handlers = {
        [LinkMessageKind.PeerHello]: (link, message) => peerNames.set(link, message.hostId),
        [LinkMessageKind.Consensus]: (link, { m }) => {
            const from = peerNames.get(link);
            if (from !== undefined && isPeerMessage(m)) {
                driver.receive(from, m);
                confirm(link);
            }
        },
        [LinkMessageKind.EntryHello]: openEntry,
        [LinkMessageKind.Phase]: (link, { phase }) => noteEntry(entries.setPhase(link, phase)),
        [LinkMessageKind.Report]: (link, { r }) => {
            entries.takeReport(link, r);
            if (r.some(([, , failures]) => failures > 0)) {
                passReports();
            }
        },
        [LinkMessageKind.RemoteOutcomes]: (_link, { r }) => entries.passOutcomes(r),
    };

    const tellView = (): void => entries.tellView(driver.viewAgeMs());

    const passReports = (): void => {
        const outcomes = entries.passReports();
        if (outcomes.length > 0) {
            const others = driver.voters().filter(voter => voter !== hostId);
            peers.relay(others, encodeFrame({ k: LinkMessageKind.RemoteOutcomes, r: outcomes } satisfies LinkMessage));
        }
    };

    const server = await createLinkServer({ host, port, receiveTimeoutMs: 0 }, {
        onMessage: (link, message) => {
            if (!isLinkMessage(message)) {
                log.log("peerRejected", { reason: "The message is of no kind that this version knows." });
                link.close();
                return;
            }
            // Each handler is keyed by the kind of its message, which the compiler can't follow through the lookup.
            (handlers[message.k] as ((link: Link, message: LinkMessage) => void) | undefined)?.(link, message);
            heardAt.set(link, clock());
        },
        onClose: (link, reason) => {
            peerNames.delete(link);
            heardAt.delete(link);
            const left = entries.close(link);
            if (left !== undefined) {
                keeper.hostDetached(left.hostId, clock());
                log.log("hostChanged", { host: left.hostId, change: "detached", reason });
            }
        },
    });
    const dropSilentEntries = (): void => {
        for (const [link, at] of heardAt) {
            if (entries.hostOf(link) !== undefined && clock() - at > entrySilenceMs) {
                link.close();
            }
        }
    };

    const timers = [
        setInterval(passReports, passReportsMs),
        setInterval(tellView, tellViewMs),
        setInterval(() => {
            brief();
            dropSilentEntries();
            void compare();
        }, compareMs),
    ];

    return {
        announce: async announced => {
            const fleet = driver.fleet();
            if (fleet === undefined) {
                return ControlOutcome.Unavailable;
            }
            const fact = keeper.serverAnnounced(fleet, announced, clock());
            return fact === undefined ? ControlOutcome.Done : withinTime(record([fact]));
        },
        leave: async (serverId, bornAt) => {
            const fleet = driver.fleet();
            if (fleet === undefined) {
                return ControlOutcome.Unavailable;
            }
            const fact = keeper.serverLeft(fleet, serverId, bornAt);
            return fact === undefined ? ControlOutcome.Done : withinTime(record([fact]));
        },
        publish: async published => {
            const held = driver.fleet()?.published();
            // A number as high is committed, so nothing that this host could add would take effect.
            if (held !== undefined && held.number >= published.number) {
                return ControlOutcome.Done;
            }
            return withinTime(driver.handleRequest({ kind: StateRequestKind.Publish, published }));
        },
        read: async () => {
            const reply = await driver.handleRequest({ kind: StateRequestKind.ReadPublished });
            return reply.kind === StateReplyKind.Published ? { ok: true, published: reply.published } : { ok: false };
        },
        nearest: zone => {
            const fleet = driver.fleet();
            const own = { address: hostId, availabilityZone: options.availabilityZone, region: options.region };
            return fleet === undefined
                ? hostId
                : nearestStateHost(contactsOf(fleet), own, zone, options.regions[zone] ?? "").address;
        },
        addresses: (availabilityZone, region) => {
            const fleet = driver.fleet();
            return fleet === undefined ? [] : entryAddressesForCaller(fleet.hosts(), availabilityZone, region);
        },
        setSeeds: seeds => driver.addContacts(seeds),
        gauges: () => ({
            cassiapick_attached_hosts: entries.size(),
            cassiapick_view_age_ms: Number.isFinite(driver.viewAgeMs()) ? driver.viewAgeMs() : -1,
            cassiapick_voters: driver.voters().length,
            cassiapick_configuration_number: latest?.number ?? 0,
        }),
        stop: async () => {
            stopping = true;
            for (const timer of timers) {
                clearInterval(timer);
            }
            await driver.stop();
            await server.close();
            peers.close();
        },
    };
};
