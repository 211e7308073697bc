/** Watches the links of one state host, and the entry hosts behind them, for silence. */
import { createHostSilence } from "@cassiapick/core";
import type { Link } from "@cassiapick/wire";

/** Silence on the links of one state host. Times are in milliseconds of its clock. */
export interface LinkWatch {
    /** Records a message; `entryHostId` names the entry host that sent it, if one did. */
    received(link: Link, entryHostId: string | undefined, now: number): void;
    /** Records that a link has closed; `entryHostId` names the entry host that is not attached by another link. */
    closed(link: Link, entryHostId: string | undefined): void;
    /** Closes those of the given links on which nothing was received for longer than `timeoutMs`. */
    closeSilentLinks(isWatched: (link: Link) => boolean, timeoutMs: number, now: number): void;
    /** Whether callers should be sent to other hosts, long before the host's link counts as lost. */
    isSilent(entryHostId: string, now: number): boolean;
}

/** Creates the watch of a state host without links. */
export const createLinkWatch = (): LinkWatch => {
    const lastReceivedAt = new Map<Link, number>();
    const hostSilence = createHostSilence();
    return {
        received: (link, entryHostId, now) => {
            lastReceivedAt.set(link, now);
            if (entryHostId !== undefined) {
                hostSilence.heard(entryHostId, now);
            }
        },
        closed: (link, entryHostId) => {
            lastReceivedAt.delete(link);
            if (entryHostId !== undefined) {
                hostSilence.lost(entryHostId);
            }
        },
        closeSilentLinks: (isWatched, timeoutMs, now) => {
            for (const [link, receivedAt] of lastReceivedAt) {
                if (isWatched(link) && now - receivedAt > timeoutMs) {
                    link.close();
                }
            }
        },
        isSilent: (entryHostId, now) => hostSilence.isSilent(entryHostId, now),
    };
};
