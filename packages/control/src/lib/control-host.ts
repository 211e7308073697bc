/**
 * Starts and stops a state host of the platform: it commits the published configuration and the liveness of hosts and servers
 * with the driver of `@cassiapick/state`, and sends both to entry hosts over links. The state host of `@cassiapick/state`
 * itself (`cassiapick-state`) serves peers, operators and entry hosts over RPC instead.
 */
import {
    concernsOtherZones,
    createLivenessMonitor,
    entryAddressesForCaller,
    fromCompactMessage,
    fromLimitReportRow,
    fromWireValue,
    HostPhase,
    HostRole,
    isHigherNumber,
    isLinkMessage,
    isOutdated,
    LinkMessageKind,
    ServingState,
    StateReplyKind,
    StateRequestKind,
    voterAbsenceTimeoutMs,
} from "@cassiapick/core";
import type { EntryHello, FleetHost, HostAnnouncement, LinkMessage, PeerMessage } from "@cassiapick/core";
import { createFaultGuard, createLatenessMeter } from "@cassiapick/operations";
import { createStateDriver, isPeerMessage } from "@cassiapick/state";
import { createLinkServer, splitAddress } from "@cassiapick/wire";
import type { Link } from "@cassiapick/wire";
import { createAckScheduler } from "./ack-scheduler.js";
import { withCommitTimeout } from "./commit-outcome.js";
import { ControlOutcome } from "./control-contract.js";
import type { ControlHost, ControlHostOptions } from "./control-contract.js";
import { createEntryLinks, viewAgeMessage } from "./entry-links.js";
import { createFactBatcher } from "./fact-batcher.js";
import { countEntryHosts, createEntryPeersCache, nearestContact, stateContacts } from "./fleet-queries.js";
import { createHostTraffic } from "./host-traffic.js";
import { createLimitRecorder } from "./limit-recorder.js";
import { createLinkWatch } from "./link-watch.js";
import { createMissingFactsRecorder } from "./missing-facts.js";
import { createPeerLinks } from "./peer-links.js";
import { createPublishedConfig } from "./published-config.js";
import { createQuarantineRecorder } from "./quarantine-recorder.js";
import { createQuotaHost } from "./quota-host.js";

/**
 * Interval of the periodic work, in milliseconds: updates are sent to entry hosts, links of silent entry hosts are closed, and
 * differences between the observed liveness and the replicated state are recorded.
 */
const maintenanceIntervalMs = 300;
/**
 * Interval at which entry hosts' reports about servers are relayed, in milliseconds: well below the time between two requests
 * to a server. A report with failures is relayed at once.
 */
const relayIntervalMs = 100;
/**
 * Interval at which entry hosts receive the view age, in milliseconds. The view is the replicated state that this host has
 * applied; its age is an upper bound of the time since a majority of the state hosts confirmed the leader of this host.
 */
const viewAgeIntervalMs = 400;
/** The link of an entry host is closed when nothing is received from it for this long, in milliseconds. */
const entryHostTimeoutMs = 2200;
/** Interval between two ticks of the consensus node, in milliseconds. */
const consensusTickMs = 50;
/** Starts a state host; the promise resolves once it listens. */
export const startControlHost = async (options: ControlHostOptions): Promise<ControlHost> => {
    const { hostId, clock, wallClock, log } = options;
    const startedAt = wallClock();
    const { host, port } = splitAddress(hostId);
    const traffic = createHostTraffic({ place: options, placeOfPeer: peerId => driver.fleet()?.host(peerId) });
    const peerLinks = createPeerLinks({ hostId, localAddress: host, clock, onSent: traffic.sentToPeer });
    const entryLinks = createEntryLinks({ availabilityZone: options.availabilityZone, clock, wallClock, log });
    const livenessMonitor = createLivenessMonitor({ stateHostId: hostId, heartbeatMs: options.heartbeatMs, wallClock });
    const peerIds = new Map<Link, string>();
    const acks = createAckScheduler();
    const linkWatch = createLinkWatch();
    const lateness = createLatenessMeter({ intervalMs: relayIntervalMs, clock, log });
    let isStopping = false;

    const driver = createStateDriver({
        nodeCfg: {
            hostId,
            hostIds: options.seeds,
            random: options.random,
            wallClock,
            timing: options.timing,
            replacement: { minVoters: options.minVoters, absenceTimeoutMs: voterAbsenceTimeoutMs },
        },
        folder: options.folder,
        clock,
        log,
        tickIntervalMs: consensusTickMs,
        send: (to, message) => peerLinks.send(to, message),
        onStepped: () => sendUpdates(),
        // Also called when the consensus node throws.
        onStorageFailed: err => log.log("storageSuspended", { message: err.message }),
        reopenFolder: options.reopen,
    });

    const quotaHost = createQuotaHost({ ...options, startedAt, peerLinks, driver });

    const publishedConfig = createPublishedConfig({ ...options, onConfig: config => quotaHost.setConfig(config) });

    const entryPeersOf = createEntryPeersCache();

    const sendUpdates = (isPeriodic = false): void => {
        const fleet = driver.fleet();
        if (fleet === undefined) {
            return;
        }
        // The quotas of all hosts are divided by the configuration that this host has read, also while no entry host is attached.
        const config = publishedConfig.refresh(fleet);
        if (entryLinks.size() === 0) {
            return;
        }
        entryLinks.sendUpdates(
            {
                fleet,
                config,
                contacts: stateContacts(fleet, driver.voters()),
                entryHosts: countEntryHosts(fleet),
                limitShares: limitRecorder.sharesOf(fleet),
                entryPeers: entryPeersOf(fleet),
                quarantined: fleet.quarantined(),
            },
            clock(),
            isPeriodic,
        );
    };

    const recordFacts = createFactBatcher(facts => driver.handleRequest({ kind: StateRequestKind.Facts, facts }));
    const limitRecorder = createLimitRecorder({ recordFacts, log });
    const quarantineRecorder = createQuarantineRecorder({ recordFacts, wallClock, log });

    const selfAnnouncement = (): HostAnnouncement => ({
        hostId,
        role: HostRole.State,
        address: hostId,
        availabilityZone: options.availabilityZone,
        region: options.region,
        state: isStopping ? HostPhase.Leaving : HostPhase.Ready,
        startedAt,
        takesQuarantine: true,
    });
    // This host counts as attached to itself, so that its own record is committed like those of its entry hosts.
    livenessMonitor.hostAttached(selfAnnouncement());

    const recordMissingFacts = createMissingFactsRecorder({ driver, livenessMonitor, recordFacts, clock });

    const recordEntryHost = (announcement: HostAnnouncement | undefined): void => {
        if (announcement !== undefined) {
            livenessMonitor.hostAttached(announcement);
            void recordMissingFacts();
        }
    };

    const attachEntryHost = (link: Link, hello: EntryHello): void => {
        recordEntryHost(entryLinks.addHost(link, hello, clock()));
        log.log("hostChanged", { host: hello.hostId, change: "attached", phase: hello.phase });
        quotaHost.hostAttached(link, hello);
        sendUpdates();
        // The other hosts receive it with the next period: a message to each of them for each that attaches is n times n.
        entryLinks.sendViewAge(sendableViewAgeMs(), link);
    };

    const receiveConsensus = (link: Link, message: PeerMessage | undefined): void => {
        const from = peerIds.get(link);
        if (from !== undefined && isPeerMessage(message)) {
            driver.receive(from, message);
            acks.schedule(link);
        }
    };

    // The fields of messages have short names on the wire: `k` is the kind, `m` a consensus message, `r` rows of reports.
    type Handlers = { [K in LinkMessageKind]?: (link: Link, message: Extract<LinkMessage, { k: K; }>) => void; };
    const handlers: Handlers = {
        ...quotaHost.handlers(link => peerIds.get(link)),
        [LinkMessageKind.PeerHello]: (link, message) => {
            peerIds.set(link, message.hostId);
            acks.greet(link);
        },
        [LinkMessageKind.RequestEvidence]: (link, { r }) => {
            entryLinks.relayEvidence(r, link);
            if (!peerIds.has(link)) {
                peerLinks.relayEvidence(otherVoters(), { k: LinkMessageKind.RequestEvidence, r });
            }
        },
        [LinkMessageKind.Quarantined]: (_link, { q }) => {
            const fleet = driver.fleet();
            if (fleet !== undefined) {
                void quarantineRecorder.record(fleet, q);
            }
        },
        [LinkMessageKind.Consensus]: (link, { m }) => receiveConsensus(link, m),
        [LinkMessageKind.CompactConsensus]: (link, { m }) => receiveConsensus(link, fromCompactMessage(m)),
        [LinkMessageKind.ViewQuery]: link => link.send(viewAgeMessage(sendableViewAgeMs())),
        [LinkMessageKind.EntryHello]: attachEntryHost,
        [LinkMessageKind.Phase]: (link, { phase }) => recordEntryHost(entryLinks.setPhase(link, phase)),
        [LinkMessageKind.Report]: (link, { r }) => {
            entryLinks.addReports(link, r);
            if (r.some(concernsOtherZones)) {
                relayReports();
            }
        },
        [LinkMessageKind.RemoteOutcomes]: (_link, { r }) => entryLinks.relayOutcomes(r),
        [LinkMessageKind.ServerLimits]: (_link, { r }) => {
            const fleet = driver.fleet();
            if (fleet !== undefined) {
                void limitRecorder.record(fleet, r.map(fromLimitReportRow));
            }
        },
    };

    /** The age of the view that entry hosts can be sent; `Infinity` while there is none. */
    const sendableViewAgeMs = (): number => driver.fleet() === undefined ? Infinity : driver.viewAgeMs();

    const otherVoters = (): string[] => driver.voters().filter(voter => voter !== hostId);

    const relayReports = (): void => {
        const outcomes = entryLinks.relayReports();
        if (outcomes.length > 0) {
            peerLinks.relay(otherVoters(), { k: LinkMessageKind.RemoteOutcomes, r: outcomes });
        }
    };

    // A receive timeout of 0 disables it; links of silent entry hosts are closed below.
    const server = await createLinkServer({ host, port, receiveTimeoutMs: 0 }, {
        onMessage: (link, value) => {
            const message = fromWireValue(value);
            if (!isLinkMessage(message)) {
                log.log("peerRejected", { reason: "This version does not support the kind of the message." });
                link.close();
                return;
            }
            // The key of a handler is the kind of its messages; the compiler can't infer this from the lookup.
            (handlers[message.k] as ((link: Link, message: LinkMessage) => void) | undefined)?.(link, message);
            linkWatch.received(link, entryLinks.hostOf(link)?.hostId, clock());
        },
        onSent: (link, message, bytes) => {
            const peerId = peerIds.get(link);
            const place = peerId === undefined ? entryLinks.hostOf(link) : driver.fleet()?.host(peerId);
            traffic.sentTo(place, message, bytes);
        },
        onClose: (link, reason) => {
            peerIds.delete(link);
            quotaHost.linkClosed(link);
            const detachedHost = entryLinks.removeHost(link);
            linkWatch.closed(link, detachedHost?.hostId);
            if (detachedHost !== undefined) {
                livenessMonitor.hostDetached(detachedHost.hostId, clock());
                log.log("hostChanged", { host: detachedHost.hostId, change: "detached", reason });
            }
        },
    });

    const guard = createFaultGuard(log);
    const every = (intervalMs: number, steps: readonly (() => void)[]): NodeJS.Timeout =>
        setInterval(() => steps.forEach(guard), intervalMs);
    const timers = [
        every(relayIntervalMs, [() => lateness.tick(), relayReports]),
        // The age covers all that is applied, so that is sent first, also while a write of the consensus is pending.
        every(viewAgeIntervalMs, [() => sendUpdates(true), () => entryLinks.sendViewAge(sendableViewAgeMs())]),
        every(maintenanceIntervalMs, [
            () => sendUpdates(),
            () => peerLinks.keepOpen(otherVoters()),
            () => linkWatch.closeSilentLinks(link => !peerIds.has(link), entryHostTimeoutMs, clock()),
            () => void recordMissingFacts(),
        ]),
    ];

    return {
        announce: async announcement => {
            const fleet = driver.fleet();
            if (fleet === undefined) {
                return ControlOutcome.Unavailable;
            }
            if (isOutdated(fleet, announcement)) {
                // No requests are sent to the process, which is what a notice that it is draining asks for.
                return announcement.state === ServingState.Draining ? ControlOutcome.Done : ControlOutcome.Outdated;
            }
            if (!publishedConfig.namesService(fleet, announcement)) {
                return ControlOutcome.UnknownService;
            }
            const fact = livenessMonitor.serverAnnounced(fleet, announcement, clock());
            return fact === undefined ? ControlOutcome.Done : withCommitTimeout(recordFacts([fact]));
        },
        leave: async (serverId, bornAt) => {
            const fleet = driver.fleet();
            if (fleet === undefined) {
                return ControlOutcome.Unavailable;
            }
            const facts = livenessMonitor.serverLeft(fleet, serverId, bornAt);
            return facts.length === 0 ? ControlOutcome.Done : withCommitTimeout(recordFacts(facts));
        },
        publish: async published => {
            const current = driver.fleet()?.published();
            // A configuration with this number or a higher one is already committed, so another request has no effect.
            if (current !== undefined && !isHigherNumber(published.number, current.number)) {
                return ControlOutcome.Done;
            }
            return withCommitTimeout(driver.handleRequest({ kind: StateRequestKind.Publish, published }));
        },
        read: async () => {
            const reply = await driver.handleRequest({ kind: StateRequestKind.ReadPublished });
            return reply.kind === StateReplyKind.Published ? { ok: true, published: reply.published } : { ok: false };
        },
        nearestHostId: availabilityZone => {
            const fleet = driver.fleet();
            return fleet === undefined ? hostId : nearestContact(fleet, driver.voters(), options, availabilityZone).address;
        },
        entryAddresses: (availabilityZone, region) => {
            const fleet = driver.fleet();
            // Other state hosts know better about the hosts that are attached to them.
            const isSilent = (host: FleetHost): boolean => host.keeper === hostId && linkWatch.isSilent(host.hostId, clock());
            return fleet === undefined ? [] : entryAddressesForCaller(fleet.hosts(), availabilityZone, region, isSilent);
        },
        // Seeds are added to the state hosts that this host contacts to join the fleet; none is removed.
        setSeeds: seeds => driver.addContacts(seeds),
        gauges: () => ({
            cassiapick_attached_hosts: entryLinks.size(),
            // -1 if the view age is unknown.
            cassiapick_view_age_ms: Number.isFinite(driver.viewAgeMs()) ? driver.viewAgeMs() : -1,
            cassiapick_voters: driver.voters().length,
            cassiapick_configuration_number: publishedConfig.latestNumber(),
            ...lateness.gauges(),
            ...traffic.gauges(),
        }),
        stop: async () => {
            isStopping = true;
            for (const timer of timers) {
                clearInterval(timer);
            }
            quotaHost.close();
            await driver.stop();
            await server.close();
            peerLinks.close();
        },
    };
};
