/** Relays announcements to other hosts, with proof of their age. */
import type { Announcement } from "../backend-server.js";
import { RelayMessageKind } from "./relay-message.js";
import type { ClockEcho, RelayMessage } from "./relay-message.js";

/** A message and the host to send it to. */
export interface AddressedRelayMessage {
    toHostId: string;
    message: RelayMessage;
}

/** Relays announcements and tracks the clocks of the hosts that it relays to. Times are in milliseconds. */
export interface AnnouncementRelayer {
    /** Relays an announcement, whose lease starts at `notBefore` on this host's clock, to the hosts that hold the lease. */
    relay(announcement: Announcement, notBefore: number, toHostIds: string[]): AddressedRelayMessage[];
    /** Records the clock of the host and repeats the announcement when the ack asks for it. */
    onAck(
        fromHostId: string,
        ack: Extract<RelayMessage, { kind: RelayMessageKind.RelayAck; }>,
        now: number,
    ): AddressedRelayMessage[];
}

/** The latest clock reading of another host. */
interface RemoteClock {
    incarnation: number;
    /** The clock's value when the host sent it. */
    clock: number;
    receivedAt: number;
}

/** The most announcements that are kept to be sent again; beyond it the oldest are discarded. */
const maxRetainedAnnouncements = 10_000;

/** Creates a relayer without any clock reading. */
export const createAnnouncementRelayer = (): AnnouncementRelayer => {
    const clocks = new Map<string, RemoteClock>();
    const latestAnnouncements = new Map<string, { announcement: Announcement; notBefore: number; }>();

    const echoFor = (hostId: string, notBefore: number): ClockEcho | undefined => {
        const remoteClock = clocks.get(hostId);
        return remoteClock === undefined
            ? undefined
            : { incarnation: remoteClock.incarnation, clock: remoteClock.clock, elapsedMs: notBefore - remoteClock.receivedAt };
    };

    const buildRelay = (toHostId: string, announcement: Announcement, notBefore: number): AddressedRelayMessage => ({
        toHostId,
        message: { kind: RelayMessageKind.Relay, announcement, echo: echoFor(toHostId, notBefore) },
    });

    const retain = (announcement: Announcement, notBefore: number): void => {
        latestAnnouncements.delete(announcement.id);
        latestAnnouncements.set(announcement.id, { announcement, notBefore });
        if (latestAnnouncements.size > maxRetainedAnnouncements) {
            const oldest = latestAnnouncements.keys().next();
            latestAnnouncements.delete(oldest.value!);
        }
    };

    const relay = (announcement: Announcement, notBefore: number, toHostIds: string[]): AddressedRelayMessage[] => {
        retain(announcement, notBefore);
        return toHostIds.map(toHostId => buildRelay(toHostId, announcement, notBefore));
    };

    const onAck = (
        fromHostId: string,
        ack: Extract<RelayMessage, { kind: RelayMessageKind.RelayAck; }>,
        now: number,
    ): AddressedRelayMessage[] => {
        clocks.set(fromHostId, { incarnation: ack.incarnation, clock: ack.clock, receivedAt: now });
        const retained = latestAnnouncements.get(ack.serverId);
        return ack.again && retained !== undefined ? [buildRelay(fromHostId, retained.announcement, retained.notBefore)] : [];
    };

    return { relay, onAck };
};
