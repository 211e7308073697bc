/** Acknowledges messages of other state hosts. */
import { LinkMessageKind } from "@cassiapick/core";
import type { LinkMessage } from "@cassiapick/core";
import type { Link } from "@cassiapick/wire";

/** Messages received within this time share an acknowledgement, in milliseconds. */
const ackDelayMs = 400;

/** Creates a function that acknowledges what a link has carried, after a delay. */
export const createAckScheduler = (): (link: Link) => void => {
    const linksAwaitingAck = new Set<Link>();
    return link => {
        if (!linksAwaitingAck.has(link)) {
            linksAwaitingAck.add(link);
            setTimeout(() => {
                linksAwaitingAck.delete(link);
                link.send({ k: LinkMessageKind.Ack, e: true, c: true } satisfies LinkMessage);
            }, ackDelayMs);
        }
    };
};
