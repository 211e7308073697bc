/** Carries the consensus between state hosts; a link is opened when there is something to send. */
import { LinkMessageKind } from "@cassiapick/core";
import type { PeerMessage } from "@cassiapick/core";
import { openLink, splitAddress } from "@cassiapick/wire";
import type { Link } from "@cassiapick/wire";

/** Options of {@link createPeerLinks}. */
export interface PeerLinksOptions {
    /** "host:port" of this state host, which is also its name. */
    hostId: string;
    localAddress: string;
    clock: () => number;
}

/** Links to other state hosts, by their names, which are their addresses. */
export interface PeerLinks {
    send(to: string, message: PeerMessage): void;
    /** Sends a frame to each of `hostIds` that a link is open to. */
    relay(hostIds: readonly string[], frame: Uint8Array): void;
    close(): void;
}

const connectTimeoutMs = 500;
/** What is sent without any receipt for this long, in milliseconds, is lost: the connection may have gone silent. */
const receiptMs = 1200;
/** Pause after a failed connection, in milliseconds; the consensus repeats what matters. */
const reconnectMs = 150;

interface Peer {
    link: Link | undefined;
    isOpen: boolean;
    /** When something was first sent that no receipt has followed; `undefined` when all is well. */
    unconfirmedSince: number | undefined;
    notBefore: number;
    waiting: PeerMessage[];
}

/** The most messages that wait for a connection; older ones are repeated by the consensus. */
const maxWaiting = 32;

/** Creates the outgoing links of one state host. */
export const createPeerLinks = (options: PeerLinksOptions): PeerLinks => {
    const peers = new Map<string, Peer>();

    const dial = (to: string, peer: Peer): void => {
        const { host, port } = splitAddress(to);
        const link = openLink({ host, port, localAddress: options.localAddress, connectTimeoutMs, receiveTimeoutMs: 0 }, {
            onOpen: opened => {
                peer.isOpen = true;
                opened.send({ k: LinkMessageKind.PeerHello, hostId: options.hostId });
                for (const message of peer.waiting.splice(0)) {
                    opened.send({ k: LinkMessageKind.Consensus, m: message });
                }
            },
            onMessage: () => {
                peer.unconfirmedSince = undefined;
            },
            onClose: closed => {
                if (peer.link === closed) {
                    peer.link = undefined;
                    peer.isOpen = false;
                    peer.unconfirmedSince = undefined;
                    peer.notBefore = options.clock() + reconnectMs;
                    peer.waiting = [];
                }
            },
        });
        peer.link = link;
    };

    const send = (to: string, message: PeerMessage): void => {
        const now = options.clock();
        const peer = peers.get(to)
            ?? { link: undefined, isOpen: false, unconfirmedSince: undefined, notBefore: 0, waiting: [] };
        peers.set(to, peer);
        if (peer.unconfirmedSince !== undefined && now - peer.unconfirmedSince > receiptMs) {
            peer.link?.close();
            return;
        }
        if (peer.isOpen && peer.link !== undefined) {
            peer.unconfirmedSince ??= now;
            peer.link.send({ k: LinkMessageKind.Consensus, m: message });
            return;
        }
        if (now < peer.notBefore) {
            return;
        }
        peer.waiting.push(message);
        if (peer.waiting.length > maxWaiting) {
            peer.waiting.shift();
        }
        if (peer.link === undefined) {
            dial(to, peer);
        }
    };

    return {
        send,
        relay: (hostIds, frame) => {
            for (const hostId of hostIds) {
                const peer = peers.get(hostId);
                if (peer?.isOpen === true) {
                    peer.link?.sendFrame(frame);
                }
            }
        },
        close: () => {
            for (const peer of peers.values()) {
                peer.link?.close();
            }
        },
    };
};
