/**
 * Membership of the entry hosts, by randomised probing and gossip (SWIM).
 *
 * Each host pings one other host per period, so that its cost does not grow with the fleet. A host whose ping fails is pinged
 * through other hosts before it is suspected, since only the direct path may have failed. A suspected host refutes the
 * suspicion with a higher incarnation; a host that does not is declared dead.
 */
import type { Random } from "../random.js";
import { noVersion } from "../tables.js";
import type { Version } from "../tables.js";
import { bucketOf, digestOf } from "./digest.js";
import { createGossipQueue } from "./gossip-queue.js";
import { HostState, overrides } from "./host-record.js";
import type { HostInfo, HostRecord } from "./host-record.js";
import { MembershipMessageKind } from "./membership-message.js";
import type { MembershipMessage } from "./membership-message.js";

export enum MembershipEventKind {
    Message = "message",
    Tick = "tick",
    /** This host stops gracefully. */
    Leave = "leave",
    /** A newer version of the tables is in force on this host. */
    Version = "version",
}

export type MembershipEvent =
    | { kind: MembershipEventKind.Message; fromHostId: string; message: MembershipMessage; }
    | { kind: MembershipEventKind.Tick; }
    | { kind: MembershipEventKind.Leave; }
    | { kind: MembershipEventKind.Version; version: Version; };

export enum MembershipActionKind {
    Send = "send",
    /** The set of hosts, or the state of one, changed. */
    Changed = "changed",
}

export type MembershipAction =
    | { kind: MembershipActionKind.Send; toHostId: string; message: MembershipMessage; }
    | { kind: MembershipActionKind.Changed; hostId: string; state: HostState; };

/** Options of {@link createMembership}. */
export interface MembershipCfg {
    self: HostInfo;
    /** Larger at each start of the process, for example the time of the start. */
    incarnation: number;
    /** Hosts to contact first; they need not be alive. */
    seeds: HostInfo[];
    random: Random;
}

/** One host's view of the entry hosts. Times are in milliseconds. */
export interface Membership {
    step(event: MembershipEvent, now: number): MembershipAction[];
    /** The records of all known hosts, this one included. */
    records(): HostRecord[];
    /** Hosts that may receive work: alive or suspected, this one included unless it is leaving. */
    usableHosts(): HostInfo[];
    find(hostId: string): HostRecord | undefined;
}

/** The interval between pings, in milliseconds. */
export const pingPeriodMs = 400;
/** How long the ack of a direct ping may take. */
const directTimeoutMs = 150;
/** How long the acks of indirect pings may take. */
const indirectTimeoutMs = 350;
/** How long a suspected host may take to refute the suspicion. */
const suspicionTimeoutMs = 1600;
/** The interval between offers of digests. */
const syncPeriodMs = 4000;
/** How long the record of a dead host is kept, so that old gossip does not revive the host. */
const deadRetentionMs = 600_000;
/** The number of hosts that are asked to ping a target after a direct ping failed. */
const indirectPingHosts = 3;

interface PendingPing {
    targetId: string;
    sentAt: number;
    /** Whether indirect pings were requested, or the ping itself was sent for another host. */
    isIndirect: boolean;
    /** The host to forward the ack to, when it requested the ping, and its sequence number. */
    requestedBy?: { hostId: string; sequence: number; };
}

/** Creates the membership of one host, which at first knows only itself and its seeds. */
export const createMembership = (cfg: MembershipCfg): Membership => {
    const known = new Map<string, HostRecord>();
    const suspectedAt = new Map<string, number>();
    const diedAt = new Map<string, number>();
    const pending = new Map<number, PendingPing>();
    const gossip = createGossipQueue();
    let ownRecord: HostRecord = { info: cfg.self, state: HostState.Alive, incarnation: cfg.incarnation, version: noVersion };
    let nextSequence = 1;
    let nextPingAt = 0;
    let nextSyncAt = 0;
    let pingQueue: string[] = [];

    const send = (toHostId: string, message: MembershipMessage): MembershipAction => ({
        kind: MembershipActionKind.Send,
        toHostId,
        message,
    });

    const takeUpdates = (): HostRecord[] => [ownRecord, ...gossip.take(known.size + 1)];

    const publishOwn = (change: Partial<HostRecord>): void => {
        ownRecord = { ...ownRecord, ...change };
        gossip.add(ownRecord);
    };

    const trackStateTimes = (record: HostRecord, now: number): void => {
        const { hostId } = record.info;
        if (record.state !== HostState.Suspect) {
            suspectedAt.delete(hostId);
        }
        else if (!suspectedAt.has(hostId)) {
            suspectedAt.set(hostId, now);
        }
        if (record.state === HostState.Dead) {
            diedAt.set(hostId, now);
        }
        else {
            diedAt.delete(hostId);
        }
    };

    const refute = (record: HostRecord): void => {
        const isOutdated = record.incarnation < ownRecord.incarnation;
        const isNoWorse = record.state <= ownRecord.state;
        if (!isOutdated && (record.incarnation > ownRecord.incarnation || !isNoWorse)) {
            publishOwn({ incarnation: record.incarnation + 1 });
        }
    };

    const merge = (record: HostRecord, now: number): MembershipAction[] => {
        const { hostId } = record.info;
        if (hostId === cfg.self.hostId) {
            refute(record);
            return [];
        }
        const previous = known.get(hostId);
        if (previous !== undefined && !overrides(record, previous)) {
            if (record.incarnation === previous.incarnation && record.state === previous.state) {
                known.set(hostId, { ...previous, version: record.version });
            }
            return [];
        }
        known.set(hostId, record);
        trackStateTimes(record, now);
        gossip.add(record);
        return [{ kind: MembershipActionKind.Changed, hostId, state: record.state }];
    };

    const mergeAll = (records: HostRecord[], now: number): MembershipAction[] => records.flatMap(record => merge(record, now));

    const declareState = (hostId: string, state: HostState, now: number): MembershipAction[] => {
        const record = known.get(hostId);
        return record === undefined || record.state >= state ? [] : merge({ ...record, state }, now);
    };

    const isPingable = (hostId: string): boolean => known.get(hostId)?.state !== HostState.Dead;

    const nextTarget = (): string | undefined => {
        pingQueue = pingQueue.filter(isPingable);
        if (pingQueue.length === 0) {
            pingQueue = [...known.keys()].filter(isPingable);
            for (let index = pingQueue.length - 1; index > 0; index -= 1) {
                const other = cfg.random.below(index + 1);
                [pingQueue[index], pingQueue[other]] = [pingQueue[other]!, pingQueue[index]!];
            }
        }
        return pingQueue.pop();
    };

    const ping = (targetId: string, now: number, requestedBy?: PendingPing["requestedBy"]): MembershipAction => {
        const sequence = nextSequence;
        nextSequence += 1;
        pending.set(sequence, { targetId, sentAt: now, isIndirect: requestedBy !== undefined, requestedBy });
        return send(targetId, { kind: MembershipMessageKind.Ping, sequence, updates: takeUpdates() });
    };

    const pickAliveHosts = (excludedHostId: string): string[] => {
        const candidates = [...known.keys()].filter(hostId =>
            hostId !== excludedHostId && known.get(hostId)?.state === HostState.Alive
        );
        const picked: string[] = [];
        while (picked.length < indirectPingHosts && candidates.length > 0) {
            picked.push(...candidates.splice(cfg.random.below(candidates.length), 1));
        }
        return picked;
    };

    const checkPings = (now: number): MembershipAction[] => {
        const actions: MembershipAction[] = [];
        for (const [sequence, entry] of pending) {
            const age = now - entry.sentAt;
            if (!entry.isIndirect && age >= directTimeoutMs) {
                entry.isIndirect = true;
                for (const proxyHostId of pickAliveHosts(entry.targetId)) {
                    const { targetId } = entry;
                    actions.push(
                        send(proxyHostId, {
                            kind: MembershipMessageKind.PingRequest,
                            sequence,
                            targetId,
                            updates: takeUpdates(),
                        }),
                    );
                }
            }
            if (age >= directTimeoutMs + indirectTimeoutMs) {
                pending.delete(sequence);
                if (entry.requestedBy === undefined) {
                    actions.push(...declareState(entry.targetId, HostState.Suspect, now));
                }
            }
        }
        return actions;
    };

    const checkHostTimeouts = (now: number): MembershipAction[] => {
        const overdue = [...suspectedAt].filter(([, since]) => now - since >= suspicionTimeoutMs).map(([hostId]) => hostId);
        for (const [hostId, since] of diedAt) {
            if (now - since >= deadRetentionMs) {
                known.delete(hostId);
                diedAt.delete(hostId);
            }
        }
        return overdue.flatMap(hostId => declareState(hostId, HostState.Dead, now));
    };

    const offerSync = (): MembershipAction[] => {
        // The target may be dead: after a long partition each side considers the other dead, and only this recovers from it.
        const hosts = [...known.keys()];
        const target = hosts[cfg.random.below(hosts.length)];
        return target === undefined
            ? []
            : [send(target, { kind: MembershipMessageKind.SyncOffer, digests: digestOf([ownRecord, ...known.values()]) })];
    };

    const tick = (now: number): MembershipAction[] => {
        const actions = [...checkPings(now), ...checkHostTimeouts(now)];
        if (now >= nextPingAt) {
            nextPingAt = now + pingPeriodMs;
            const target = nextTarget();
            if (target !== undefined) {
                actions.push(ping(target, now));
            }
        }
        if (now >= nextSyncAt) {
            nextSyncAt = now + syncPeriodMs;
            actions.push(...offerSync());
        }
        return actions;
    };

    const onAck = (sequence: number, now: number): MembershipAction[] => {
        const entry = pending.get(sequence);
        pending.delete(sequence);
        if (entry?.requestedBy === undefined || now - entry.sentAt > directTimeoutMs + indirectTimeoutMs) {
            return [];
        }
        return [
            send(entry.requestedBy.hostId, {
                kind: MembershipMessageKind.Ack,
                sequence: entry.requestedBy.sequence,
                updates: takeUpdates(),
            }),
        ];
    };

    const onSyncOffer = (fromHostId: string, digests: number[]): MembershipAction[] => {
        const records = [ownRecord, ...known.values()];
        const ownDigests = digestOf(records);
        const differing = records.filter(record => {
            const bucket = bucketOf(record.info.hostId);
            return ownDigests[bucket] !== digests[bucket];
        });
        return differing.length === 0 ? [] : [send(fromHostId, { kind: MembershipMessageKind.Sync, records: differing })];
    };

    const onMessage = (fromHostId: string, message: MembershipMessage, now: number): MembershipAction[] => {
        switch (message.kind) {
            case MembershipMessageKind.Ping:
                return [
                    ...mergeAll(message.updates, now),
                    send(fromHostId, { kind: MembershipMessageKind.Ack, sequence: message.sequence, updates: takeUpdates() }),
                ];
            case MembershipMessageKind.Ack:
                return [...mergeAll(message.updates, now), ...onAck(message.sequence, now)];
            case MembershipMessageKind.PingRequest:
                return [
                    ...mergeAll(message.updates, now),
                    ping(message.targetId, now, { hostId: fromHostId, sequence: message.sequence }),
                ];
            case MembershipMessageKind.SyncOffer:
                return onSyncOffer(fromHostId, message.digests);
            case MembershipMessageKind.Sync:
                return mergeAll(message.records, now);
        }
    };

    const leave = (now: number): MembershipAction[] => {
        publishOwn({ state: HostState.Leaving });
        // Sent to several hosts at once: gossip alone would take some periods, and callers may ask any host for addresses.
        return pickAliveHosts(cfg.self.hostId).map(hostId => ping(hostId, now));
    };

    const step = (event: MembershipEvent, now: number): MembershipAction[] => {
        switch (event.kind) {
            case MembershipEventKind.Message:
                return onMessage(event.fromHostId, event.message, now);
            case MembershipEventKind.Tick:
                return tick(now);
            case MembershipEventKind.Leave:
                return leave(now);
            case MembershipEventKind.Version:
                publishOwn({ version: event.version });
                return [];
        }
    };

    const records = (): HostRecord[] => [ownRecord, ...known.values()];

    for (const seed of cfg.seeds.filter(info => info.hostId !== cfg.self.hostId)) {
        // Incarnation 0 is lower than that of any running host, so a seed's own record always overrides this one.
        known.set(seed.hostId, { info: seed, state: HostState.Alive, incarnation: 0, version: noVersion });
    }

    return {
        step,
        records,
        usableHosts: () => records().filter(record => record.state <= HostState.Suspect).map(record => record.info),
        find: hostId => hostId === cfg.self.hostId ? ownRecord : known.get(hostId),
    };
};
