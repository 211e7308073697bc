/** Queues membership records that are to be piggybacked on other messages. */
import type { HostRecord } from "./host-record.js";

/** Sends each record a bounded number of times, the least often sent first. */
export interface GossipQueue {
    /** Queues a record in place of an earlier one of the same host. */
    add(record: HostRecord): void;
    /** Returns the records for the next message, in a fleet of `fleetSize` hosts. */
    take(fleetSize: number): HostRecord[];
}

/** The most records in one message. */
const maxRecordsPerMessage = 8;
/** A record is sent this factor times the base-2 logarithm of the number of hosts. */
const retransmissionFactor = 4;

/** Creates an empty queue. */
export const createGossipQueue = (): GossipQueue => {
    const pending = new Map<string, { record: HostRecord; transmissions: number; }>();

    const add = (record: HostRecord): void => {
        pending.set(record.info.hostId, { record, transmissions: 0 });
    };

    const take = (fleetSize: number): HostRecord[] => {
        const maxTransmissions = Math.ceil(retransmissionFactor * Math.log2(fleetSize + 1));
        const chosen = [...pending.values()].sort((a, b) => a.transmissions - b.transmissions).slice(0, maxRecordsPerMessage);
        for (const entry of chosen) {
            entry.transmissions += 1;
            if (entry.transmissions >= maxTransmissions) {
                pending.delete(entry.record.info.hostId);
            }
        }
        return chosen.map(entry => entry.record);
    };

    return { add, take };
};
