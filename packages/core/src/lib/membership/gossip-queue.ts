/** Statements that still have to be passed on with other messages. */
import type { HostRecord } from "./host-record.js";

/** Passes each statement on a bounded number of times, the least passed-on first. */
export interface GossipQueue {
    add(record: HostRecord): void;
    /** The statements to put into the next message, for a fleet of `fleetSize` hosts. */
    take(fleetSize: number): HostRecord[];
}

/** Statements in one message. */
const maxPerMessage = 8;
/** A statement is passed on this many times the logarithm of the number of hosts. */
const spreadFactor = 4;

/** Creates an empty queue. */
export const createGossipQueue = (): GossipQueue => {
    const waiting = new Map<string, { record: HostRecord; sent: number; }>();

    const add = (record: HostRecord): void => {
        waiting.set(record.info.hostId, { record, sent: 0 });
    };

    const take = (fleetSize: number): HostRecord[] => {
        const limit = Math.ceil(spreadFactor * Math.log2(fleetSize + 1));
        const chosen = [...waiting.values()].sort((a, b) => a.sent - b.sent).slice(0, maxPerMessage);
        for (const entry of chosen) {
            entry.sent += 1;
            if (entry.sent >= limit) {
                waiting.delete(entry.record.info.hostId);
            }
        }
        return chosen.map(entry => entry.record);
    };

    return { add, take };
};
