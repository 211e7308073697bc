/** Takes announcements from backend servers and from other hosts, and grants leases only for a proved age. */
import type { Announcement } from "../backend-server.js";
import { createDirectory } from "./directory.js";
import type { Directory, DirectoryChange } from "./directory.js";
import { RelayMessageKind } from "./relay.js";
import type { ClockEcho, RelayMessage } from "./relay.js";
import { createRelayer } from "./relayer.js";
import type { RelaySend } from "./relayer.js";

/** What an announcement led to. */
export interface AnnouncementResult {
    changes: DirectoryChange[];
    relays: RelaySend[];
}

/** Options of {@link createAnnouncementDesk}. */
export interface AnnouncementDeskCfg {
    hostId: string;
    /** The incarnation of this process, whose clock the echoes must be of. */
    incarnation: number;
    /** Hosts that hold the lease of the backend server. */
    holdersOf(announcement: Announcement): string[];
}

/** The announcements of one host. Times are in milliseconds. */
export interface AnnouncementDesk {
    directory: Directory;
    /** A backend server announces itself here. */
    announce(announcement: Announcement, echo: ClockEcho | undefined, now: number): AnnouncementResult;
    /** Another host relays an announcement, or answers a relay of this one. */
    receive(fromHostId: string, message: RelayMessage, now: number): AnnouncementResult;
}

/** Creates a desk with an empty directory. */
export const createAnnouncementDesk = (cfg: AnnouncementDeskCfg): AnnouncementDesk => {
    const directory = createDirectory();
    const relayer = createRelayer();

    /** When the backend server certainly sent the announcement, on this host's clock. */
    const sentAt = (echo: ClockEcho | undefined, now: number): number | undefined =>
        echo?.incarnation === cfg.incarnation ? Math.min(now, echo.clock + echo.elapsedMs) : undefined;

    const announce = (announcement: Announcement, echo: ClockEcho | undefined, now: number): AnnouncementResult => {
        const heardAt = sentAt(echo, now);
        if (heardAt === undefined) {
            // It may have been held up for any time on its way. Its answer brings the clock for the next one.
            return { changes: [], relays: [] };
        }
        const holders = cfg.holdersOf(announcement);
        const isHolder = holders.includes(cfg.hostId);
        const changes = isHolder ? directory.announce(announcement, { validFrom: heardAt }, now) : [];
        // A holder is told directly, and so are the others: it relays changes, for speed, but no renewals.
        const isWorthRelaying = !isHolder || changes.length > 0;
        const remote = isWorthRelaying ? holders.filter(hostId => hostId !== cfg.hostId) : [];
        return { changes, relays: relayer.relay(announcement, heardAt, remote) };
    };

    const receive = (fromHostId: string, message: RelayMessage, now: number): AnnouncementResult => {
        if (message.kind === RelayMessageKind.RelayAck) {
            return { changes: [], relays: relayer.onAck(fromHostId, message, now) };
        }
        const validFrom = sentAt(message.echo, now);
        const ack: RelayMessage = {
            kind: RelayMessageKind.RelayAck,
            serverId: message.announcement.id,
            incarnation: cfg.incarnation,
            clock: now,
            again: validFrom === undefined,
        };
        const changes = validFrom === undefined ? [] : directory.announce(message.announcement, { validFrom }, now);
        return { changes, relays: [{ toHostId: fromHostId, message: ack }] };
    };

    return { directory, announce, receive };
};
