/**
 * Decides how many requests beyond its slots a server may get, by priority. What waits at a server is served in the order of its
 * arrival, so a short queue there leaves the order to the hosts; a queue that is too short leaves slots idle until hosts learn
 * of them. The less urgent therefore leave the places that the urgent lately needed.
 */

/** What the number of places depends on. Times are in milliseconds. */
export interface PlacesInput {
    /** 0 for the most urgent requests that the service lately got, 1 for the next, and so on. */
    rank: number;
    /** Expected time in a slot. */
    workMs: number;
    /** Longest wait at a server that the most urgent requests bear. */
    bearableMs: number;
    slotsPerServer: number;
}

/** The places of one service. Times are in milliseconds. */
export interface ServerPlaces {
    /** Records the wait of a request at its server, and the wait that it would have borne. */
    recordWait(waitMs: number, bearableMs: number, now: number): void;
    /** Records that a server was full. */
    recordDecline(now: number): void;
    /** Records the requests beyond the slots of the server with most room; a negative number is a free slot. */
    recordRoom(excess: number, now: number): void;
    /** Whether requests lately met full servers or long waits. */
    isShort(): boolean;
    /** Whether servers lately declined so many requests that they are fuller than is known. */
    isOverestimated(): boolean;
    /** Returns how many requests beyond its slots a server may have for one more of this rank to be sent. */
    places(input: PlacesInput): number;
}

/** Places while room is not short: as many as the selection of servers allows. */
const unlimitedPlaces = Infinity;
/** Hosts learn after about this time that a slot has become free; requests for that time wait at the server. */
const knowledgeDelayMs = 170;
/** Bounds of the places of the most urgent. */
const urgentPlaces = { min: 1, max: 9 } as const;
const maxLessUrgentPlaces = 4;
/** Places that the most urgent have beyond those for which the others compete. */
const urgentMargin = 1.5;
/** The less urgent get fewer places when a wait exceeds this fraction of what is bearable. */
const tolerableFraction = 0.8;
/** Change of their places with each wait; a decline takes as much as this many long waits. */
const decrease = 0.25;
const increase = 0.1;
const declineWeight = 2;
const placesIncrease = 0.03;
const placesDecreaseFactor = 0.7;
/** With fewer places than this, declines show that servers are fuller than this host knows. */
const fewPlaces = 2;
/** Free slots for this long end the shortage. */
const calmMs = 1000;

/** Creates the places of a service that is not short of room. */
export const createServerPlaces = (): ServerPlaces => {
    let isShort = false;
    /** Places that servers are known to have: fewer after each decline, and slowly more while none declines. */
    let acceptedPlaces: number = urgentPlaces.max;
    /** Adjustment of the places of the less urgent by what requests met. */
    let adjustment = 0;
    let freeSince: number | undefined;

    const shrink = (amount: number): void => {
        isShort = true;
        freeSince = undefined;
        adjustment = Math.max(-maxLessUrgentPlaces, adjustment - amount);
    };

    return {
        recordWait: (waitMs, bearableMs) => {
            acceptedPlaces = Math.min(urgentPlaces.max, acceptedPlaces + placesIncrease);
            if (waitMs > tolerableFraction * bearableMs) {
                shrink(decrease);
            }
            else {
                adjustment = Math.min(maxLessUrgentPlaces, adjustment + increase);
            }
        },
        recordDecline: () => {
            acceptedPlaces = Math.max(urgentPlaces.min, acceptedPlaces * placesDecreaseFactor);
            shrink(decrease * declineWeight);
        },
        recordRoom: (excess, now) => {
            if (excess >= 0) {
                freeSince = undefined;
                isShort ||= excess >= urgentPlaces.max && Number.isFinite(excess);
                return;
            }
            freeSince ??= now;
            if (now - freeSince > calmMs) {
                isShort = false;
                adjustment = 0;
            }
        },
        isShort: () => isShort,
        isOverestimated: () => acceptedPlaces < fewPlaces,
        places: ({ rank, workMs, bearableMs, slotsPerServer }) => {
            if (!isShort) {
                return unlimitedPlaces;
            }
            const pacing = slotsPerServer * knowledgeDelayMs / Math.max(1, workMs);
            const urgent = Math.min(
                acceptedPlaces,
                Math.max(urgentPlaces.min, slotsPerServer * bearableMs / Math.max(1, workMs)),
                pacing + urgentMargin + Math.max(0, adjustment),
            );
            if (rank === 0) {
                return urgent;
            }
            return Math.max(0, Math.min(maxLessUrgentPlaces, urgent - 1, pacing + adjustment) - (rank - 1) / 2);
        },
    };
};
