/**
 * Membership of the entry hosts, by randomised probing and gossip.
 *
 * Each host pings one other host a period, so that its cost does not grow with the fleet. A host whose ping fails is pinged
 * through others before it is suspected, since the direct path alone may be cut. A suspected host refutes by a
 * higher incarnation; one that does not is declared dead.
 */
import type { Random } from "../random.js";
import { noVersion } from "../tables.js";
import type { Version } from "../tables.js";
import { bucketOf, digestOf } from "./digest.js";
import { createGossipQueue } from "./gossip-queue.js";
import { HostState, overrides } from "./host-record.js";
import type { HostInfo, HostRecord } from "./host-record.js";
import { MembershipMessageKind } from "./messages.js";
import type { MembershipMessage } from "./messages.js";

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
    /** Hosts to ask first; they need not be alive. */
    seeds: HostInfo[];
    random: Random;
}

/** One host's view of the entry hosts. Times are in milliseconds. */
export interface Membership {
    step(event: MembershipEvent, now: number): MembershipAction[];
    /** Every host that is known, this one included. */
    records(): HostRecord[];
    /** Hosts that may be given work: alive or suspected, this one included unless it leaves. */
    usable(): HostInfo[];
    find(hostId: string): HostRecord | undefined;
}

/** How often one other host is pinged. */
export const pingPeriodMs = 400;
const directTimeoutMs = 150;
const indirectTimeoutMs = 350;
/** How long a suspected host may refute. */
const suspicionMs = 1600;
const syncPeriodMs = 4000;
/** How long a dead host is remembered, so that old gossip does not bring it back. */
const forgetDeadMs = 600_000;
const indirectHosts = 3;

interface PendingPing {
    targetId: string;
    sentAt: number;
    indirect: boolean;
    /** Whom to pass the ack on to, when the ping was made for another host. */
    relayTo?: { hostId: string; sequence: number; };
}

/** Creates the membership of one host, which knows itself and its seeds. */
export const createMembership = (cfg: MembershipCfg): Membership => {
    const known = new Map<string, HostRecord>();
    const suspectedAt = new Map<string, number>();
    const diedAt = new Map<string, number>();
    const pending = new Map<number, PendingPing>();
    const gossip = createGossipQueue();
    let own: HostRecord = { info: cfg.self, state: HostState.Alive, incarnation: cfg.incarnation, version: noVersion };
    let nextSequence = 1;
    let nextPingAt = 0;
    let nextSyncAt = 0;
    let roundRobin: string[] = [];

    const send = (toHostId: string, message: MembershipMessage): MembershipAction => ({
        kind: MembershipActionKind.Send,
        toHostId,
        message,
    });

    const takeUpdates = (): HostRecord[] => [own, ...gossip.take(known.size + 1)];

    const publishOwn = (change: Partial<HostRecord>): void => {
        own = { ...own, ...change };
        gossip.add(own);
    };

    const note = (record: HostRecord, now: number): void => {
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
        const isOld = record.incarnation < own.incarnation;
        const isTrue = record.state <= own.state;
        if (!isOld && (record.incarnation > own.incarnation || !isTrue)) {
            publishOwn({ incarnation: record.incarnation + 1 });
        }
    };

    const merge = (record: HostRecord, now: number): MembershipAction[] => {
        const { hostId } = record.info;
        if (hostId === cfg.self.hostId) {
            refute(record);
            return [];
        }
        const before = known.get(hostId);
        if (before !== undefined && !overrides(record, before)) {
            if (record.incarnation === before.incarnation && record.state === before.state) {
                known.set(hostId, { ...before, version: record.version });
            }
            return [];
        }
        known.set(hostId, record);
        note(record, now);
        gossip.add(record);
        return [{ kind: MembershipActionKind.Changed, hostId, state: record.state }];
    };

    const mergeAll = (records: HostRecord[], now: number): MembershipAction[] => records.flatMap(record => merge(record, now));

    const declare = (hostId: string, state: HostState, now: number): MembershipAction[] => {
        const record = known.get(hostId);
        return record === undefined || record.state >= state ? [] : merge({ ...record, state }, now);
    };

    const isPingable = (hostId: string): boolean => known.get(hostId)?.state !== HostState.Dead;

    const nextTarget = (): string | undefined => {
        roundRobin = roundRobin.filter(isPingable);
        if (roundRobin.length === 0) {
            roundRobin = [...known.keys()].filter(isPingable);
            for (let index = roundRobin.length - 1; index > 0; index -= 1) {
                const other = cfg.random.below(index + 1);
                [roundRobin[index], roundRobin[other]] = [roundRobin[other]!, roundRobin[index]!];
            }
        }
        return roundRobin.pop();
    };

    const ping = (targetId: string, now: number, relayTo?: PendingPing["relayTo"]): MembershipAction => {
        const sequence = nextSequence;
        nextSequence += 1;
        pending.set(sequence, { targetId, sentAt: now, indirect: relayTo !== undefined, relayTo });
        return send(targetId, { kind: MembershipMessageKind.Ping, sequence, updates: takeUpdates() });
    };

    const pickHelpers = (targetId: string): string[] => {
        const candidates = [...known.keys()].filter(hostId =>
            hostId !== targetId && known.get(hostId)?.state === HostState.Alive
        );
        const helpers: string[] = [];
        while (helpers.length < indirectHosts && candidates.length > 0) {
            helpers.push(...candidates.splice(cfg.random.below(candidates.length), 1));
        }
        return helpers;
    };

    const checkPending = (now: number): MembershipAction[] => {
        const actions: MembershipAction[] = [];
        for (const [sequence, entry] of pending) {
            const age = now - entry.sentAt;
            if (!entry.indirect && age >= directTimeoutMs) {
                entry.indirect = true;
                for (const helper of pickHelpers(entry.targetId)) {
                    const { targetId } = entry;
                    actions.push(
                        send(helper, { kind: MembershipMessageKind.PingRequest, sequence, targetId, updates: takeUpdates() }),
                    );
                }
            }
            if (age >= directTimeoutMs + indirectTimeoutMs) {
                pending.delete(sequence);
                if (entry.relayTo === undefined) {
                    actions.push(...declare(entry.targetId, HostState.Suspect, now));
                }
            }
        }
        return actions;
    };

    const checkSuspects = (now: number): MembershipAction[] => {
        const overdue = [...suspectedAt].filter(([, since]) => now - since >= suspicionMs).map(([hostId]) => hostId);
        for (const [hostId, since] of diedAt) {
            if (now - since >= forgetDeadMs) {
                known.delete(hostId);
                diedAt.delete(hostId);
            }
        }
        return overdue.flatMap(hostId => declare(hostId, HostState.Dead, now));
    };

    const offerSync = (): MembershipAction[] => {
        // Dead hosts are asked too: after a long partition, both sides hold each other dead and only this heals it.
        const hosts = [...known.keys()];
        const target = hosts[cfg.random.below(hosts.length)];
        return target === undefined
            ? []
            : [send(target, { kind: MembershipMessageKind.SyncOffer, digests: digestOf([own, ...known.values()]) })];
    };

    const tick = (now: number): MembershipAction[] => {
        const actions = [...checkPending(now), ...checkSuspects(now)];
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
        if (entry?.relayTo === undefined || now - entry.sentAt > directTimeoutMs + indirectTimeoutMs) {
            return [];
        }
        return [
            send(entry.relayTo.hostId, {
                kind: MembershipMessageKind.Ack,
                sequence: entry.relayTo.sequence,
                updates: takeUpdates(),
            }),
        ];
    };

    const onSyncOffer = (fromHostId: string, digests: number[]): MembershipAction[] => {
        const records = [own, ...known.values()];
        const mine = digestOf(records);
        const differing = records.filter(record => {
            const bucket = bucketOf(record.info.hostId);
            return mine[bucket] !== digests[bucket];
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
        // Told to several hosts at once: gossip alone would take some periods, and callers ask any host for addresses.
        return pickHelpers(cfg.self.hostId).map(hostId => ping(hostId, now));
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

    const records = (): HostRecord[] => [own, ...known.values()];

    for (const seed of cfg.seeds.filter(info => info.hostId !== cfg.self.hostId)) {
        // Incarnation 0 is older than any real host's, so a seed's own statement always overrides this one.
        known.set(seed.hostId, { info: seed, state: HostState.Alive, incarnation: 0, version: noVersion });
    }

    return {
        step,
        records,
        usable: () => records().filter(record => record.state <= HostState.Suspect).map(record => record.info),
        find: hostId => hostId === cfg.self.hostId ? own : known.get(hostId),
    };
};
