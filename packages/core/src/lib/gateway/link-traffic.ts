/** Counts what one host sends on its links, by kind of message and by distance, as bytes between zones and regions are billed. */
import { carriesEntries, compactMessageKind } from "../consensus/compact-messages.js";
import { PeerMessageKind } from "../consensus/node-messages.js";
import type { PeerMessage } from "../consensus/node-messages.js";
import { isLinkMessage, LinkMessageKind } from "./fleet-messages.js";

/** How far the other end of a link is. */
export enum LinkDistance {
    SameZone = "same-zone",
    OtherZone = "other-zone",
    OtherRegion = "other-region",
    /** The other end has not said where it is. */
    Unknown = "unknown",
}

/** Where a host is. */
export interface LinkPlace {
    availabilityZone?: string;
    region?: string;
}

/** The counters of one host; there are at most as many series as kinds of messages times distances. */
export interface LinkTraffic {
    /** Counts a message of `bytes` bytes on the wire, its framing included. */
    sent(message: unknown, bytes: number, distance: LinkDistance): void;
    /** The counters by series, for the metrics endpoint. */
    gauges(): Record<string, number>;
}

/** The names of the kinds, as they are shown to operators. */
const kindNames: ReadonlyMap<unknown, string> = new Map(Object.entries(LinkMessageKind).map(([name, kind]) => [kind, name]));

/** Messages that don't say their kind are counted under this name. */
const otherKindName = "Other";

/** Messages of the consensus are counted by their own kinds, and those that carry entries apart from heartbeats. */
const consensusNameOf = (kind: PeerMessageKind, hasEntries: boolean): string => `Consensus-${hasEntries ? "entries" : kind}`;

const hasEntries = (message: PeerMessage): boolean => message.kind === PeerMessageKind.Append && message.entries.length > 0;

const kindNameOf = (message: unknown): string => {
    if (!isLinkMessage(message)) {
        return otherKindName;
    }
    if (message.k === LinkMessageKind.Consensus) {
        return consensusNameOf(message.m.kind, hasEntries(message.m));
    }
    if (message.k === LinkMessageKind.CompactConsensus) {
        return consensusNameOf(compactMessageKind(message.m), carriesEntries(message.m));
    }
    return kindNames.get(message.k) ?? otherKindName;
};

/** Returns the distance between a host at `own` and one at `other`. */
export const linkDistance = (own: LinkPlace, other: LinkPlace | undefined): LinkDistance => {
    if (other?.availabilityZone === undefined) {
        return LinkDistance.Unknown;
    }
    if (other.availabilityZone === own.availabilityZone) {
        return LinkDistance.SameZone;
    }
    return other.region === own.region ? LinkDistance.OtherZone : LinkDistance.OtherRegion;
};

/** Creates counters that are all zero. */
export const createLinkTraffic = (): LinkTraffic => {
    const counts = new Map<string, { messages: number; bytes: number; }>();
    return {
        sent: (message, bytes, distance) => {
            const labels = `kind="${kindNameOf(message)}",distance="${distance}"`;
            const count = counts.get(labels) ?? { messages: 0, bytes: 0 };
            counts.set(labels, count);
            count.messages += 1;
            count.bytes += bytes;
        },
        gauges: () =>
            Object.fromEntries([...counts].flatMap(([labels, { messages, bytes }]) => [
                [`cassiapick_link_messages_total{${labels}}`, messages],
                [`cassiapick_link_bytes_total{${labels}}`, bytes],
            ])),
    };
};
