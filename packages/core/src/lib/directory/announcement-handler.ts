/** Handles announcements from backend servers and from other hosts; grants leases only to announcements of proven age. */
import type { Announcement } from "../backend-server.js";
import { createAnnouncementRelayer } from "./announcement-relayer.js";
import type { AddressedRelayMessage } from "./announcement-relayer.js";
import { createDirectory } from "./directory.js";
import type { Directory, DirectoryChange } from "./directory.js";
import { RelayMessageKind } from "./relay-message.js";
import type { ClockEcho, RelayMessage } from "./relay-message.js";

/** The changes and messages that follow from an announcement. */
export interface AnnouncementResult {
    changes: DirectoryChange[];
    relays: AddressedRelayMessage[];
}

/** Options of {@link createAnnouncementHandler}. */
export interface AnnouncementHandlerCfg {
    hostId: string;
    /** The incarnation of this process; echoes of another incarnation's clock are not accepted. */
    incarnation: number;
    /** Hosts that hold the lease of the backend server. */
    holdersOf(announcement: Announcement): string[];
}

/** The announcement handler of one host. Times are in milliseconds. */
export interface AnnouncementHandler {
    directory: Directory;
    /** Handles an announcement that a backend server sent to this host. */
    announce(announcement: Announcement, echo: ClockEcho | undefined, now: number): AnnouncementResult;
    /** Handles an announcement that another host relays, or its ack of a relayed announcement. */
    receive(fromHostId: string, message: RelayMessage, now: number): AnnouncementResult;
}

/** Creates a handler with an empty directory. */
export const createAnnouncementHandler = (cfg: AnnouncementHandlerCfg): AnnouncementHandler => {
    const directory = createDirectory();
    const relayer = createAnnouncementRelayer();

    /**
     * Returns a time on this host's clock at which the backend server was certainly still announcing itself; `undefined` without
     * an echo of this process's clock.
     */
    const provenSendTime = (echo: ClockEcho | undefined, now: number): number | undefined =>
        echo?.incarnation === cfg.incarnation ? Math.min(now, echo.clock + echo.elapsedMs) : undefined;

    const announce = (announcement: Announcement, echo: ClockEcho | undefined, now: number): AnnouncementResult => {
        const notBefore = provenSendTime(echo, now);
        if (notBefore === undefined) {
            // The announcement may have been delayed for any time. The answer carries this host's clock for the next one.
            return { changes: [], relays: [] };
        }
        const holders = cfg.holdersOf(announcement);
        const isHolder = holders.includes(cfg.hostId);
        const changes = isHolder ? directory.announce(announcement, { notBefore }, now) : [];
        // Each holder gets announcements directly too, so a holder relays changes, to speed them up, but no renewals.
        const mustRelay = !isHolder || changes.length > 0;
        const otherHolders = mustRelay ? holders.filter(hostId => hostId !== cfg.hostId) : [];
        return { changes, relays: relayer.relay(announcement, notBefore, otherHolders) };
    };

    const receive = (fromHostId: string, message: RelayMessage, now: number): AnnouncementResult => {
        if (message.kind === RelayMessageKind.RelayAck) {
            return { changes: [], relays: relayer.onAck(fromHostId, message, now) };
        }
        const notBefore = provenSendTime(message.echo, now);
        const ack: RelayMessage = {
            kind: RelayMessageKind.RelayAck,
            serverId: message.announcement.id,
            incarnation: cfg.incarnation,
            clock: now,
            again: notBefore === undefined,
        };
        const changes = notBefore === undefined ? [] : directory.announce(message.announcement, { notBefore }, now);
        return { changes, relays: [{ toHostId: fromHostId, message: ack }] };
    };

    return { directory, announce, receive };
};
