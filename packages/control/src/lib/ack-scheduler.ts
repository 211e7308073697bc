/** Acknowledges messages of other state hosts. */
import { LinkMessageKind } from "@cassiapick/core";
import type { LinkMessage } from "@cassiapick/core";
import type { Link } from "@cassiapick/wire";

/** Messages received within this time share an acknowledgement, in milliseconds. */
const ackDelayMs = 400;

/** Acknowledges what links have carried. */
export interface AckScheduler {
    /** Acknowledges at once, as the first message on a link, so that the peer knows early what this version understands. */
    greet: (link: Link) => void;
    /** Acknowledges after a delay, together with what arrives until then. */
    schedule: (link: Link) => void;
}

const ack: LinkMessage = { k: LinkMessageKind.Ack, e: true, c: true, q: true, p: true };

/** Creates the acknowledgements of one state host. */
export const createAckScheduler = (): AckScheduler => {
    const linksAwaitingAck = new Set<Link>();
    return {
        greet: link => link.send(ack),
        schedule: link => {
            if (!linksAwaitingAck.has(link)) {
                linksAwaitingAck.add(link);
                setTimeout(() => {
                    linksAwaitingAck.delete(link);
                    link.send(ack);
                }, ackDelayMs);
            }
        },
    };
};
