/**
 * Selects the state host that an entry host attaches to: the nearest one whose view a majority has confirmed recently.
 *
 * An entry host asks other state hosts for the age of their view while it stays attached, and moves only to one that is up to
 * date. So neither a move to a nearer state host nor a search among state hosts without a majority makes its view older.
 */
import type { Random } from "../random.js";
import { stateHostDistance } from "./nearest-state-host.js";

/** A state host that accepts connections of entry hosts. */
export interface StateHostContact {
    /** Where it accepts links, as "host:port". */
    address: string;
    /** `undefined` while only the address is known. */
    availabilityZone?: string;
    region?: string;
}

/** Options of {@link createStateHostSelector}. */
export interface StateHostSelectorCfg {
    availabilityZone: string;
    region: string;
    /** State hosts to try while the fleet has sent no list, as "host:port". */
    seeds: readonly string[];
    random: Random;
}

/** Selects state hosts for one entry host. It opens no connections itself: its user connects to the returned addresses. */
export interface StateHostSelector {
    /** Replaces the list of state hosts that the fleet has sent. */
    setContacts(contacts: readonly StateHostContact[]): void;
    setSeeds(seeds: readonly string[]): void;
    /** Records that the connection to `address` failed, ended or did not answer in time. */
    connectionLost(address: string, now: number): void;
    /**
     * Records that the state host at `address` reports a view that a majority confirmed `ageMs` before `now`. The report of a
     * state host that is only asked may make it the current one.
     */
    viewConfirmed(address: string, ageMs: number, now: number): void;
    /** Records that a part of a long message arrived from `address`; reports of its view's age are queued behind it. */
    partReceived(address: string, now: number): void;
    /** Returns the address of a state host to ask for the age of its view, or `undefined` if none is to be asked now. */
    nextAddress(now: number): string | undefined;
    /** The state host to be attached to. */
    currentAddress(): string | undefined;
    /** Time since a majority confirmed the view that this host holds, in milliseconds. */
    viewAgeMs(now: number): number;
}

/** Other state hosts are asked when the view is older than this; well within the 2.5 s in which changes must take effect. */
const maxViewAgeMs = 1200;
/** How long a state host is not asked again after its first failure; doubled with each further one. */
const firstAvoidanceMs = 500;
/** The longest such time while the current state host is up to date, so that only a shorter way can be gained. */
const maxCalmAvoidanceMs = 8000;
/** The longest such time while this host has no state host that is up to date. */
const maxSearchAvoidanceMs = 1000;
/** Shortest time on a state host before a move to a nearer one. */
const minStayMs = 1500;
/** A long message counts as stalled when none of its parts has arrived for this long. */
const partTimeoutMs = 500;
/** Time for a state host to send its first update, which precedes its first report to an attached host. */
const firstUpdateTimeoutMs = 800;
/** Shortest time between two state hosts that are asked. */
const askIntervalMs = 150;

/**
 * Ranks of state hosts to ask; the lowest is asked first, and the distance adds up to 2. A failure counts more than any
 * distance, so that all state hosts are asked once before one is asked again.
 */
const failureRank = 3;
const avoidedRank = 100;

/** Earlier failures of one state host. */
interface Failures {
    count: number;
    lastFailedAt: number;
}

/** Creates the selector of one entry host. */
export const createStateHostSelector = (cfg: StateHostSelectorCfg): StateHostSelector => {
    let seeds = [...cfg.seeds];
    let contacts: readonly StateHostContact[] = [];
    let current: string | undefined;
    /** Whether the latest report of the current state host was recent enough. */
    let isCurrentUpToDate = false;
    let attachedAt = -Infinity;
    let viewConfirmedAt = -Infinity;
    let lastAskedAt = -Infinity;
    let lastPartAt = -Infinity;
    let hasMovedCloser = false;
    let hasBeenInOwnZone = false;
    const asked = new Set<string>();
    const failures = new Map<string, Failures>();

    const distance = (contact: StateHostContact): number => stateHostDistance(contact, cfg.availabilityZone, cfg.region);

    const candidates = (): StateHostContact[] => {
        const listed = new Set(contacts.map(contact => contact.address));
        const all = [...contacts, ...seeds.filter(address => !listed.has(address)).map(address => ({ address }))];
        return all.filter(({ address }) => address !== current && !asked.has(address));
    };

    const isAvoided = (contact: StateHostContact, now: number, maxAvoidanceMs: number): boolean => {
        const failed = failures.get(contact.address);
        return failed !== undefined
            && now - failed.lastFailedAt < Math.min(firstAvoidanceMs * 2 ** (failed.count - 1), maxAvoidanceMs);
    };

    const recordFailure = (address: string, now: number): void => {
        failures.set(address, { count: (failures.get(address)?.count ?? 0) + 1, lastFailedAt: now });
    };

    /** The distance of the current state host; `undefined` while its location is unknown. */
    const currentDistance = (): number | undefined => {
        const contact = contacts.find(({ address }) => address === current);
        return contact === undefined ? undefined : distance(contact);
    };

    /** Traffic between availability zones and regions is billed, so a move to a nearer host pays off. */
    const nearerAddress = (now: number): string | undefined => {
        const limit = currentDistance();
        if (limit === undefined) {
            return undefined;
        }
        // A seed's zone is unknown until the fleet lists it; after that, the first move to a nearer host is made at once, and so is
        // the first one to the own zone.
        const stayMs = (contact: StateHostContact): number =>
            hasMovedCloser && (hasBeenInOwnZone || distance(contact) > 0) ? minStayMs : 0;
        return candidates().filter(contact =>
            distance(contact) < limit && now - attachedAt >= stayMs(contact) && !isAvoided(contact, now, maxCalmAvoidanceMs)
        )
            .sort((a, b) => distance(a) - distance(b))[0]?.address;
    };

    const bestAddress = (now: number): string | undefined => {
        const isRecentFailure = (contact: StateHostContact): boolean => isAvoided(contact, now, maxSearchAvoidanceMs);
        const rank = (contact: StateHostContact): number =>
            (isRecentFailure(contact) ? avoidedRank : 0) + failureRank * (failures.get(contact.address)?.count ?? 0)
            + distance(contact) + cfg.random.next() / 2;
        // An attached host receives updates as soon as its state host is up to date again, so it can wait for the others.
        return candidates().filter(contact => current === undefined || !isRecentFailure(contact))
            .map(contact => ({ address: contact.address, rank: rank(contact) }))
            .sort((a, b) => a.rank - b.rank)[0]?.address;
    };

    /**
     * Whether a long update is arriving. Moving would start it again on another link, and fill that link in turn. The parts of a
     * state host that is known to be out of date are no reason to stay.
     */
    const isReceivingUpdate = (now: number): boolean =>
        isCurrentUpToDate && (now - lastPartAt < partTimeoutMs || now - attachedAt < firstUpdateTimeoutMs);

    const needsOtherHost = (now: number): boolean =>
        current === undefined || (now - viewConfirmedAt > maxViewAgeMs && !isReceivingUpdate(now));

    const attach = (address: string, isUpToDate: boolean, now: number): void => {
        const previousDistance = currentDistance();
        current = address;
        hasBeenInOwnZone ||= currentDistance() === 0;
        hasMovedCloser ||= previousDistance !== undefined && (currentDistance() ?? Infinity) < previousDistance;
        isCurrentUpToDate = isUpToDate;
        attachedAt = now;
        lastPartAt = -Infinity;
    };

    const isNearerThanCurrent = (address: string): boolean => {
        const contact = contacts.find(candidate => candidate.address === address);
        return contact !== undefined && distance(contact) < (currentDistance() ?? Infinity);
    };

    const receiveAnswer = (address: string, isUpToDate: boolean, now: number): void => {
        asked.delete(address);
        if (isUpToDate) {
            failures.delete(address);
        }
        else {
            recordFailure(address, now);
        }
        // Without any connection, even a state host without a majority is useful: it knows servers and a configuration.
        if (current === undefined || (isUpToDate && (needsOtherHost(now) || isNearerThanCurrent(address)))) {
            attach(address, isUpToDate, now);
        }
    };

    return {
        setContacts: list => {
            contacts = list;
        },
        setSeeds: list => {
            seeds = [...list];
        },
        connectionLost: (address, now) => {
            asked.delete(address);
            recordFailure(address, now);
            if (current === address) {
                current = undefined;
                isCurrentUpToDate = false;
            }
        },
        viewConfirmed: (address, ageMs, now) => {
            const isUpToDate = ageMs <= maxViewAgeMs;
            if (address === current) {
                isCurrentUpToDate = isUpToDate;
                viewConfirmedAt = Math.max(viewConfirmedAt, now - ageMs);
            }
            else if (asked.has(address)) {
                receiveAnswer(address, isUpToDate, now);
            }
        },
        partReceived: (address, now) => {
            if (address === current) {
                lastPartAt = now;
            }
        },
        nextAddress: now => {
            if (now - lastAskedAt < askIntervalMs) {
                return undefined;
            }
            const address = needsOtherHost(now) ? bestAddress(now) : nearerAddress(now);
            if (address !== undefined) {
                lastAskedAt = now;
                asked.add(address);
            }
            return address;
        },
        currentAddress: () => current,
        viewAgeMs: now => now - viewConfirmedAt,
    };
};
