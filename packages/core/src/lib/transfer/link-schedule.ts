/**
 * Orders the parts of large answers on a host's link. The bytes of several large answers together would fill the queue of a
 * narrow link, and small urgent answers would wait behind them. So large answers are written in parts, few at a time: the most
 * urgent answer first, and among equals the one with the fewest bytes left. Small answers are written at once.
 */

/** Options of {@link createLinkSchedule}. */
export interface LinkScheduleCfg {
    /** Bytes a millisecond of the host's link; `undefined` if not known. */
    bytesPerMs: number | undefined;
}

/** A large answer that is being written. */
export interface Transfer {
    /** Priority of the request; 0 is the most urgent. */
    readonly priority: number;
    /** Bytes that have not been written yet. */
    remainingBytes: number;
}

/** A part that may be written now. */
export interface Part {
    transfer: Transfer;
    bytes: number;
}

/** The large answers of one host. Times are in milliseconds of the host's clock. */
export interface LinkSchedule {
    add(transfer: Transfer, now: number): void;
    /** Returns the next part to be written and counts it as on its way; `undefined` while enough bytes are. */
    next(now: number): Part | undefined;
    /** Records that the link has taken the part of `transfer` that was on its way. */
    partTaken(transfer: Transfer, now: number): void;
    remove(transfer: Transfer): void;
    /** Time until {@link next} may return a part although none is taken, as a caller has stopped reading; `Infinity` if never. */
    nextStallInMs(now: number): number;
    size(): number;
}

/** Longest time that a small answer may wait behind the parts of large ones, in milliseconds. */
const maxQueueingMs = 60;
/** Assumed if the rate of the link is not known: that of 1 Gbit/s. */
const defaultBytesPerMs = 125_000;
/** Smaller parts cost more processor time than they save time of others. */
const minPartBytes = 8 * 1024;
const maxPartBytes = 64 * 1024;
/** A part that the link has not taken after this time waits for its caller to read, and takes no room on the link, in milliseconds. */
const stallMs = 250;
/** The same for an answer whose caller has not shown that it reads: what is on its way takes the link at most half as long. */
const unprovenStallMs = 2 * maxQueueingMs;
/**
 * Answers whose callers have not shown that they read may have a part on its way beyond the bound, this many at a time. Otherwise
 * each caller that reads nothing would hold the link until its part counts as stalled.
 */
const maxUnprovenParts = 2;

/** A large answer that has waited longer than this for its turn goes before all that have not, in milliseconds. */
const maxTurnWaitMs = 1000;

interface OpenTransfer {
    transfer: Transfer;
    /** Bytes on their way; a transfer has one part on its way at a time, so that its caller can't hold the link. */
    inFlight: number;
    /** When its last part was written, or when it was added. */
    sentAt: number;
    /** Whether the caller has read a part in time lately. */
    isProven: boolean;
}

/** Creates the schedule of a host without large answers. */
export const createLinkSchedule = ({ bytesPerMs = defaultBytesPerMs }: LinkScheduleCfg): LinkSchedule => {
    const open = new Map<Transfer, OpenTransfer>();
    const maxInFlight = Math.max(minPartBytes, maxQueueingMs * bytesPerMs);
    // Whole, as a sum of fractions may miss the length of the answer, which would then never end.
    const partBytes = Math.floor(Math.min(maxPartBytes, Math.max(minPartBytes, maxInFlight / 2)));

    const stallAfterMs = ({ isProven }: OpenTransfer): number => isProven ? stallMs : unprovenStallMs;

    const isStalled = (entry: OpenTransfer, now: number): boolean =>
        entry.inFlight > 0 && now - entry.sentAt >= stallAfterMs(entry);

    const isBefore = (a: OpenTransfer, b: OpenTransfer | undefined, now: number): boolean => {
        if (b === undefined) {
            return true;
        }
        if (now - Math.min(a.sentAt, b.sentAt) > maxTurnWaitMs) {
            return a.sentAt < b.sentAt;
        }
        if (a.transfer.priority !== b.transfer.priority) {
            return a.transfer.priority < b.transfer.priority;
        }
        return a.transfer.remainingBytes < b.transfer.remainingBytes;
    };

    /** Returns the waiting answer that goes first, among those that still have room. */
    const choose = (now: number): OpenTransfer | undefined => {
        let inFlight = 0;
        let unprovenParts = 0;
        let bestProven: OpenTransfer | undefined;
        let bestUnproven: OpenTransfer | undefined;
        for (const entry of open.values()) {
            if (entry.inFlight > 0) {
                const isCounted = !isStalled(entry, now);
                inFlight += isCounted && entry.isProven ? entry.inFlight : 0;
                unprovenParts += isCounted && !entry.isProven ? 1 : 0;
            }
            else if (entry.transfer.remainingBytes > 0) {
                if (entry.isProven) {
                    bestProven = isBefore(entry, bestProven, now) ? entry : bestProven;
                }
                else {
                    bestUnproven = isBefore(entry, bestUnproven, now) ? entry : bestUnproven;
                }
            }
        }
        const proven = inFlight === 0 || inFlight + partBytes <= maxInFlight ? bestProven : undefined;
        const unproven = unprovenParts < maxUnprovenParts ? bestUnproven : undefined;
        return unproven !== undefined && isBefore(unproven, proven, now) ? unproven : proven;
    };

    return {
        add: (transfer, now) => {
            open.set(transfer, { transfer, inFlight: 0, sentAt: now, isProven: false });
        },
        next: now => {
            const entry = choose(now);
            if (entry === undefined) {
                return undefined;
            }
            const { transfer, isProven } = entry;
            const bytes = Math.min(isProven ? partBytes : minPartBytes, transfer.remainingBytes);
            entry.inFlight = bytes;
            entry.sentAt = now;
            transfer.remainingBytes -= bytes;
            return { transfer, bytes };
        },
        partTaken: (transfer, now) => {
            const entry = open.get(transfer);
            if (entry !== undefined) {
                entry.isProven = !isStalled(entry, now);
                entry.inFlight = 0;
            }
        },
        remove: transfer => {
            open.delete(transfer);
        },
        nextStallInMs: now => {
            let inMs = Infinity;
            for (const entry of open.values()) {
                if (entry.inFlight > 0 && !isStalled(entry, now)) {
                    inMs = Math.min(inMs, entry.sentAt + stallAfterMs(entry) - now);
                }
            }
            return inMs;
        },
        size: () => open.size,
    };
};
