/** Simulates links that stall, drop and delay messages, with separate faults in each direction. */
import type { Random } from "@cassiapick/core";

interface MessageInTransit {
    arrivesAt: number;
    deliver: () => void;
}

/** The links of one case. */
export interface FailingLinks {
    /**
     * Sends a message in one direction. A stalled link delivers it late and in order, a dropping link never.
     * Times are in milliseconds.
     */
    send(from: string, to: string, now: number, deliver: () => void): void;
    /** Delivers the messages that are due. */
    deliverDue(now: number): void;
}

/** Options of {@link createFailingLinks}. */
export interface FailingLinksOptions {
    random: Random;
    /** The length of the case, in milliseconds. */
    durationMs: number;
    /** The fraction of the directions that fail for some time. */
    failingShare: number;
}

interface LinkDirection {
    failsFrom: number;
    failsUntil: number;
    dropsMessages: boolean;
    lastArrivalAt: number;
}

const maxDelayMs = 25;

/** Creates links whose faults are drawn at the first message of each direction. */
export const createFailingLinks = (options: FailingLinksOptions): FailingLinks => {
    const { random, durationMs, failingShare } = options;
    const directions = new Map<string, LinkDirection>();
    let inTransit: MessageInTransit[] = [];

    const drawDirection = (): LinkDirection => {
        const failsFrom = random.below(durationMs);
        const isFaulty = random.next() < failingShare;
        return {
            failsFrom,
            failsUntil: isFaulty ? failsFrom + random.below(durationMs) : failsFrom,
            dropsMessages: random.next() < 0.3,
            lastArrivalAt: 0,
        };
    };

    const send = (from: string, to: string, now: number, deliver: () => void): void => {
        const linkName = `${from}>${to}`;
        const direction = directions.get(linkName) ?? drawDirection();
        directions.set(linkName, direction);
        const isFailing = now >= direction.failsFrom && now < direction.failsUntil;
        if (isFailing && direction.dropsMessages) {
            return;
        }
        const departsAt = isFailing ? direction.failsUntil : now;
        direction.lastArrivalAt = Math.max(direction.lastArrivalAt, departsAt + 1 + random.below(maxDelayMs));
        inTransit.push({ arrivesAt: direction.lastArrivalAt, deliver });
    };

    const deliverDue = (now: number): void => {
        const due = inTransit.filter(message => message.arrivesAt <= now).sort((a, b) => a.arrivesAt - b.arrivesAt);
        inTransit = inTransit.filter(message => message.arrivesAt > now);
        for (const message of due) {
            message.deliver();
        }
    };

    return { send, deliverDue };
};
