/** Knows how many entry hosts the fleet has, as state hosts name it. */
import type { HostRetryBudget, RetryBound } from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";

/** Options of {@link createHostCount}. */
export interface HostCountOptions {
    retryBudget: Pick<HostRetryBudget, "setHostCount">;
    retryBound: RetryBound;
    /** Whether a majority of the state hosts has confirmed this host's view lately. */
    isViewFresh: () => boolean;
    log: EventLog;
}

/** The number of entry hosts. */
export interface HostCount {
    /** Records the number that a state host names. */
    named(count: number): void;
    /** Uses the latest number for the retry budget, if the view is fresh; to be called after each message. */
    confirm(): void;
    /** The latest number, or `assumedHostCount` before the first. */
    latest: () => number;
    /** The latest number that came with a fresh view; 0 before the first. */
    confirmed(): number;
}

/** Number of entry hosts that share the room at servers, assumed until a state host sends the actual number. */
const assumedHostCount = 50;

/** Creates the count of a host that has heard of no state host. */
export const createHostCount = ({ retryBudget, retryBound, isViewFresh, log }: HostCountOptions): HostCount => {
    let latest: number | undefined;
    let confirmed = 0;

    return {
        named: count => {
            latest = count;
        },
        confirm: () => {
            // A state host that has just started may know a part of the hosts only, so its number counts once its view is confirmed.
            if (latest === undefined || latest === confirmed || !isViewFresh()) {
                return;
            }
            confirmed = latest;
            retryBudget.setHostCount(confirmed);
            log.log("hostCountConfirmed", { hostCount: confirmed, retryReserveShare: retryBound.reserve / confirmed });
        },
        latest: () => latest ?? assumedHostCount,
        confirmed: () => confirmed,
    };
};
