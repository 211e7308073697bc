/** Counts what a state host sends on its links, by the place of the other end. */
import { createLinkTraffic, linkDistance } from "@cassiapick/core";
import type { LinkPlace } from "@cassiapick/core";

/** Options of {@link createHostTraffic}. */
export interface HostTrafficOptions {
    /** Where this host is. */
    place: LinkPlace;
    /** Returns where a state host is; `undefined` while the fleet's view doesn't have it. */
    placeOfPeer: (hostId: string) => LinkPlace | undefined;
}

/** The counters of one state host. */
export interface HostTraffic {
    sentToPeer: (hostId: string, message: unknown, bytes: number) => void;
    /** `place` is `undefined` if the other end has not said who it is. */
    sentTo: (place: LinkPlace | undefined, message: unknown, bytes: number) => void;
    gauges: () => Record<string, number>;
}

/** Creates counters that are all zero. */
export const createHostTraffic = ({ place, placeOfPeer }: HostTrafficOptions): HostTraffic => {
    const traffic = createLinkTraffic();
    const sentTo: HostTraffic["sentTo"] = (other, message, bytes) => traffic.sent(message, bytes, linkDistance(place, other));
    return {
        sentToPeer: (hostId, message, bytes) => sentTo(placeOfPeer(hostId), message, bytes),
        sentTo,
        gauges: () => traffic.gauges(),
    };
};
