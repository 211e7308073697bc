/** Outgoing links for consensus messages between state hosts; a link is opened on demand. */
import { isLinkMessage, LinkMessageKind, toCompactMessage, toWireValue } from "@cassiapick/core";
import type { LinkMessage, PeerMessage } from "@cassiapick/core";
import { createFrameHistory, encodeCompactFrame, encodeFrameWithHistory, openLink, splitAddress } from "@cassiapick/wire";
import type { FrameHistory, Link } from "@cassiapick/wire";

/** Options of {@link createPeerLinks}. */
export interface PeerLinksOptions {
    /** "host:port" of this state host, which is also its id. */
    hostId: string;
    /** The local address to connect from, without a port. */
    localAddress: string;
    /** Monotonic time in milliseconds. */
    clock: () => number;
    /** Called for each message that is sent to the state host `to`, with its bytes on the wire. */
    onSent?: (to: string, message: unknown, bytes: number) => void;
}

/** Links to other state hosts, by their ids, which are their addresses. */
export interface PeerLinks {
    send(to: string, message: PeerMessage): void;
    /** Sends a message to those of `hostIds` to which a link is open; for the others it is dropped. No acknowledgement is expected. */
    relay(hostIds: readonly string[], message: LinkMessage): void;
    /** Like `relay`, to those that understand evidence about requests. */
    relayEvidence(hostIds: readonly string[], message: LinkMessage): void;
    /** Sends a message about quotas if a link is open and the peer understands it. */
    sendQuotas(to: string, message: LinkMessage): void;
    /** Opens the missing links to `hostIds`, so that frames can be relayed. */
    keepOpen(hostIds: readonly string[]): void;
    close(): void;
}

const connectTimeoutMs = 500;
/**
 * The link is closed when a consensus message is to be sent and nothing was received for this long after the first message
 * that followed the last one from the peer, in milliseconds. Packets may be lost without an error.
 */
const ackTimeoutMs = 1200;
/**
 * Delay before the next connection after a link has closed for any reason, in milliseconds; messages are dropped meanwhile,
 * and the consensus retries them.
 */
const reconnectDelayMs = 150;

interface Peer {
    link: Link | undefined;
    isOpen: boolean;
    /** Whether the peer understands evidence about requests; it says so in its acknowledgements. */
    takesEvidence: boolean;
    /** Whether the peer understands short forms of the consensus and frames with history; it says so in its acknowledgements. */
    takesCompact: boolean;
    /** Whether the peer understands patches of long values; it says so in its acknowledgements. */
    takesPatches: boolean;
    /** What the link has carried in frames with history. */
    history: FrameHistory;
    /** Whether the peer understands quotas; it says so in its acknowledgements. */
    takesQuotas: boolean;
    /**
     * When the first consensus message was sent after the last message from the peer; `undefined` if none was sent since.
     * Any message from the peer clears it.
     */
    unacknowledgedSince: number | undefined;
    reconnectAt: number;
    queuedMessages: PeerMessage[];
}

/** Most messages that wait for a connection; older ones are dropped, and the consensus retries them. */
const maxQueuedMessages = 32;

/** Sends a message of the consensus in the shortest form that the peer understands. */
const sendConsensus = (peer: Peer, link: Link, message: PeerMessage): void => {
    const whole: LinkMessage = { k: LinkMessageKind.Consensus, m: message };
    if (!peer.takesCompact) {
        link.send(whole);
        return;
    }
    const compact = toCompactMessage(message);
    const shortest: LinkMessage = compact === undefined ? whole : { k: LinkMessageKind.CompactConsensus, m: compact };
    link.sendFrame(encodeFrameWithHistory(toWireValue(shortest), peer.history, peer.takesPatches), shortest);
};

/** Creates the outgoing links of one state host. */
export const createPeerLinks = (options: PeerLinksOptions): PeerLinks => {
    const peers = new Map<string, Peer>();

    const connect = (to: string, peer: Peer): void => {
        const { host, port } = splitAddress(to);
        const link = openLink({ host, port, localAddress: options.localAddress, connectTimeoutMs, receiveTimeoutMs: 0 }, {
            onOpen: opened => {
                peer.isOpen = true;
                opened.send({ k: LinkMessageKind.PeerHello, hostId: options.hostId });
                for (const message of peer.queuedMessages.splice(0)) {
                    sendConsensus(peer, opened, message);
                }
            },
            onMessage: (_link, message) => {
                peer.unacknowledgedSince = undefined;
                if (isLinkMessage(message) && message.k === LinkMessageKind.Ack) {
                    peer.takesEvidence ||= message.e === true;
                    peer.takesCompact ||= message.c === true;
                    peer.takesPatches ||= message.p === true;
                    peer.takesQuotas ||= message.q === true;
                }
            },
            onSent: (_link, message, bytes) => options.onSent?.(to, message, bytes),
            onClose: closed => {
                if (peer.link === closed) {
                    peer.link = undefined;
                    peer.isOpen = false;
                    peer.takesEvidence = false;
                    peer.takesCompact = false;
                    peer.takesPatches = false;
                    peer.history = createFrameHistory();
                    peer.takesQuotas = false;
                    peer.unacknowledgedSince = undefined;
                    peer.reconnectAt = options.clock() + reconnectDelayMs;
                    peer.queuedMessages = [];
                }
            },
        });
        peer.link = link;
    };

    const obtainPeer = (to: string): Peer => {
        const peer = peers.get(to) ?? {
            link: undefined,
            isOpen: false,
            takesEvidence: false,
            takesCompact: false,
            takesPatches: false,
            history: createFrameHistory(),
            takesQuotas: false,
            unacknowledgedSince: undefined,
            reconnectAt: 0,
            queuedMessages: [],
        };
        peers.set(to, peer);
        return peer;
    };

    const relay = (hostIds: readonly string[], message: LinkMessage, accepts: (peer: Peer) => boolean): void => {
        const frame = encodeCompactFrame(message);
        const shortValue = toWireValue(message);
        for (const hostId of hostIds) {
            const peer = peers.get(hostId);
            if (peer?.isOpen === true && accepts(peer)) {
                peer.link?.sendFrame(peer.takesCompact ? encodeFrameWithHistory(shortValue, peer.history) : frame, message);
            }
        }
    };

    const send = (to: string, message: PeerMessage): void => {
        const now = options.clock();
        const peer = obtainPeer(to);
        if (peer.unacknowledgedSince !== undefined && now - peer.unacknowledgedSince > ackTimeoutMs) {
            peer.link?.close();
            return;
        }
        if (peer.isOpen && peer.link !== undefined) {
            peer.unacknowledgedSince ??= now;
            sendConsensus(peer, peer.link, message);
            return;
        }
        if (now < peer.reconnectAt) {
            return;
        }
        peer.queuedMessages.push(message);
        if (peer.queuedMessages.length > maxQueuedMessages) {
            peer.queuedMessages.shift();
        }
        if (peer.link === undefined) {
            connect(to, peer);
        }
    };

    return {
        send,
        relay: (hostIds, message) => relay(hostIds, message, () => true),
        relayEvidence: (hostIds, message) => relay(hostIds, message, ({ takesEvidence }) => takesEvidence),
        sendQuotas: (to, message) => {
            const peer = peers.get(to);
            if (peer?.isOpen === true && peer.takesQuotas) {
                peer.link?.send(message);
            }
        },
        keepOpen: hostIds => {
            for (const hostId of hostIds) {
                const peer = obtainPeer(hostId);
                if (peer.link === undefined && options.clock() >= peer.reconnectAt) {
                    connect(hostId, peer);
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
