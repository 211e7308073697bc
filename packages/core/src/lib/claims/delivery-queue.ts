/** Sends releases and answers repeatedly until every replica has confirmed them. */
import type { AddressedMessage, ClaimMessage } from "./claim-message.js";

/** How long a message is sent again to a replica that does not confirm it, in milliseconds. */
const deliveryTimeoutMs = 120_000;
/** The longest delay before a message is sent again, in milliseconds. */
const maxRetryDelayMs = 10_000;
/** The most messages in the queue; beyond it the oldest are discarded. */
const maxDeliveries = 10_000;

/** A message that some replicas have not confirmed. */
interface Delivery {
    message: ClaimMessage;
    /** IDs of the hosts that have not confirmed the message. */
    unconfirmedBy: Set<string>;
    sentAt: number;
    /** Doubles with each retry: while a replica is down, every claim of the last minutes is in the queue. */
    retryDelayMs: number;
    expiresAt: number;
}

/** Options of {@link createDeliveryQueue}. */
export interface DeliveryQueueCfg {
    /** Delay before the first retry, in milliseconds. */
    resendMs: number;
}

/** The unconfirmed messages of one host, at most one for each attempt. Times are in milliseconds. */
export interface DeliveryQueue {
    send(attemptId: string, message: ClaimMessage, hostIds: string[], now: number): AddressedMessage[];
    confirm(attemptId: string, hostId: string): void;
    tick(now: number): AddressedMessage[];
    size(): number;
}

/** Creates an empty queue. */
export const createDeliveryQueue = (cfg: DeliveryQueueCfg): DeliveryQueue => {
    const deliveries = new Map<string, Delivery>();

    const addressCopies = (delivery: Delivery): AddressedMessage[] =>
        [...delivery.unconfirmedBy].map(hostId => ({ hostId, message: delivery.message }));

    const send = (attemptId: string, message: ClaimMessage, hostIds: string[], now: number): AddressedMessage[] => {
        const delivery = {
            message,
            unconfirmedBy: new Set(hostIds),
            sentAt: now,
            retryDelayMs: cfg.resendMs,
            expiresAt: now + deliveryTimeoutMs,
        };
        deliveries.set(attemptId, delivery);
        if (deliveries.size > maxDeliveries) {
            deliveries.delete(deliveries.keys().next().value!);
        }
        return addressCopies(delivery);
    };

    const confirm = (attemptId: string, hostId: string): void => {
        const delivery = deliveries.get(attemptId);
        delivery?.unconfirmedBy.delete(hostId);
        if (delivery?.unconfirmedBy.size === 0) {
            deliveries.delete(attemptId);
        }
    };

    const tick = (now: number): AddressedMessage[] => {
        const messages: AddressedMessage[] = [];
        for (const [attemptId, delivery] of deliveries) {
            if (now >= delivery.expiresAt) {
                deliveries.delete(attemptId);
            }
            else if (now - delivery.sentAt >= delivery.retryDelayMs) {
                delivery.sentAt = now;
                delivery.retryDelayMs = Math.min(delivery.retryDelayMs * 2, maxRetryDelayMs);
                messages.push(...addressCopies(delivery));
            }
        }
        return messages;
    };

    return { send, confirm, tick, size: () => deliveries.size };
};
