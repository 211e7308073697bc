/** The relaying side of announcements: passes each on with proof of its age. */
import type { Announcement } from "../backend-server.js";
import { RelayMessageKind } from "./relay.js";
import type { ClockEcho, RelayMessage } from "./relay.js";

/** A message to one host. */
export interface RelaySend {
    toHostId: string;
    message: RelayMessage;
}

/** Remembers the clocks of the hosts that it relays to. */
export interface Relayer {
    /** Passes an announcement that was valid at `heardAt` on to the hosts that serve it. */
    relay(announcement: Announcement, heardAt: number, toHostIds: string[]): RelaySend[];
    onAck(fromHostId: string, ack: Extract<RelayMessage, { kind: RelayMessageKind.RelayAck; }>, now: number): RelaySend[];
}

interface HeardClock {
    incarnation: number;
    clock: number;
    at: number;
}

/** Announcements that are kept for sending again; the oldest go first. */
const maxKept = 10_000;

/** Creates a relayer that knows no clock yet. */
export const createRelayer = (): Relayer => {
    const clocks = new Map<string, HeardClock>();
    const latest = new Map<string, { announcement: Announcement; heardAt: number; }>();

    const echoFor = (hostId: string, heardAt: number): ClockEcho | undefined => {
        const heard = clocks.get(hostId);
        return heard === undefined
            ? undefined
            : { incarnation: heard.incarnation, clock: heard.clock, elapsedMs: heardAt - heard.at };
    };

    const build = (toHostId: string, announcement: Announcement, heardAt: number): RelaySend => ({
        toHostId,
        message: { kind: RelayMessageKind.Relay, announcement, echo: echoFor(toHostId, heardAt) },
    });

    const keep = (announcement: Announcement, heardAt: number): void => {
        latest.delete(announcement.id);
        latest.set(announcement.id, { announcement, heardAt });
        if (latest.size > maxKept) {
            const oldest = latest.keys().next();
            latest.delete(oldest.value!);
        }
    };

    const relay = (announcement: Announcement, heardAt: number, toHostIds: string[]): RelaySend[] => {
        keep(announcement, heardAt);
        return toHostIds.map(toHostId => build(toHostId, announcement, heardAt));
    };

    const onAck = (
        fromHostId: string,
        ack: Extract<RelayMessage, { kind: RelayMessageKind.RelayAck; }>,
        now: number,
    ): RelaySend[] => {
        clocks.set(fromHostId, { incarnation: ack.incarnation, clock: ack.clock, at: now });
        const kept = latest.get(ack.serverId);
        return ack.again && kept !== undefined ? [build(fromHostId, kept.announcement, kept.heardAt)] : [];
    };

    return { relay, onAck };
};
