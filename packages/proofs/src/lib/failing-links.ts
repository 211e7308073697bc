/** Links between named ends that stall, drop and delay what they carry, in one direction each, under fake time. */
import type { Random } from "@cassiapick/core";

/** What a link carries, and when it arrives. */
interface InTransit {
    arrivesAt: number;
    deliver: () => void;
}

/** Links of one case. */
export interface FailingLinks {
    /** Sends in one direction; what a stalled link holds arrives late and in order, what a broken one holds never does. */
    send(from: string, to: string, now: number, deliver: () => void): void;
    /** Delivers what has arrived. */
    run(now: number): void;
}

/** Options of {@link createFailingLinks}. */
export interface FailingLinksOptions {
    random: Random;
    /** The length of the case, in milliseconds. */
    lengthMs: number;
    /** The share of directions that fail for a while. */
    failingShare: number;
}

interface Direction {
    failsFrom: number;
    failsUntil: number;
    isBroken: boolean;
    lastArrival: number;
}

const maxDelayMs = 25;

/** Creates links whose faults are drawn when they are first used. */
export const createFailingLinks = (options: FailingLinksOptions): FailingLinks => {
    const { random, lengthMs, failingShare } = options;
    const directions = new Map<string, Direction>();
    let inTransit: InTransit[] = [];

    const drawDirection = (): Direction => {
        const failsFrom = random.below(lengthMs);
        const fails = random.next() < failingShare;
        return {
            failsFrom,
            failsUntil: fails ? failsFrom + random.below(lengthMs) : failsFrom,
            isBroken: random.next() < 0.3,
            lastArrival: 0,
        };
    };

    const send = (from: string, to: string, now: number, deliver: () => void): void => {
        const name = `${from}>${to}`;
        const direction = directions.get(name) ?? drawDirection();
        directions.set(name, direction);
        const isFailing = now >= direction.failsFrom && now < direction.failsUntil;
        if (isFailing && direction.isBroken) {
            return;
        }
        const start = isFailing ? direction.failsUntil : now;
        direction.lastArrival = Math.max(direction.lastArrival, start + 1 + random.below(maxDelayMs));
        inTransit.push({ arrivesAt: direction.lastArrival, deliver });
    };

    const run = (now: number): void => {
        const arrived = inTransit.filter(item => item.arrivesAt <= now).sort((a, b) => a.arrivesAt - b.arrivesAt);
        inTransit = inTransit.filter(item => item.arrivesAt > now);
        for (const item of arrived) {
            item.deliver();
        }
    };

    return { send, run };
};
