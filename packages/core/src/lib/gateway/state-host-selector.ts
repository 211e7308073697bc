/** Selects the state host that an entry host connects to: the nearest one whose view a majority has confirmed recently. */
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

/** Selects state hosts for one entry host. It opens no connections itself: its user connects to the returned address. */
export interface StateHostSelector {
    /** Replaces the list of state hosts that the fleet has sent. */
    setContacts(contacts: readonly StateHostContact[]): void;
    setSeeds(seeds: readonly string[]): void;
    /** Records that the connection to `address` failed or ended. */
    connectionLost(address: string, now: number): void;
    /** Records that a majority confirmed the view of the state host at `address` `ageMs` before `now`. */
    viewConfirmed(address: string, ageMs: number, now: number): void;
    /** Records that a part of a long message arrived from `address`; reports of its view's age are queued behind it. */
    partReceived(address: string, now: number): void;
    /** Returns the address to connect to, or `undefined` to keep the current connection or to wait. */
    nextAddress(now: number): string | undefined;
    currentAddress(): string | undefined;
    /** Time since a majority confirmed the view that this host holds, in milliseconds. */
    viewAgeMs(now: number): number;
}

/** Another host is tried when the view is older than this; well within the 2.5 s in which changes must take effect. */
const maxViewAgeMs = 1200;
/** How long a failed host ranks behind all others. */
const failedHostAvoidanceMs = 3000;
/** Shortest time on a host before a move to a nearer one. */
const minStayMs = 1500;
/** Timeout for a host's first view; a state host that is a leader, or follows one, sends its view's age at once. */
const firstViewTimeoutMs = 350;
/** A long message counts as stalled when none of its parts has arrived for this long. */
const partTimeoutMs = 500;
/** Shortest time between two connection attempts. */
const retryIntervalMs = 150;

/** Creates the selector of one entry host. */
export const createStateHostSelector = (cfg: StateHostSelectorCfg): StateHostSelector => {
    let seeds = [...cfg.seeds];
    let contacts: readonly StateHostContact[] = [];
    let current: string | undefined;
    let viewConfirmedAt = -Infinity;
    let lastAttemptAt = -Infinity;
    let lastPartAt = -Infinity;
    let hasMovedCloser = false;
    const avoidedUntil = new Map<string, number>();

    const distance = (contact: StateHostContact): number => stateHostDistance(contact, cfg.availabilityZone, cfg.region);

    const candidates = (): StateHostContact[] => {
        const listed = new Set(contacts.map(contact => contact.address));
        return [...contacts, ...seeds.filter(address => !listed.has(address)).map(address => ({ address }))];
    };

    const isAvoided = (contact: StateHostContact, now: number): boolean => (avoidedUntil.get(contact.address) ?? -Infinity) > now;

    /** Traffic between availability zones and regions is billed, so a move to a nearer host pays off. */
    const nearerAddress = (now: number): string | undefined => {
        const currentContact = contacts.find(contact => contact.address === current);
        // A seed's zone is unknown until the fleet lists it; after that, the first move to a nearer host is made at once.
        if (currentContact === undefined || now - lastAttemptAt < (hasMovedCloser ? minStayMs : 0)) {
            return undefined;
        }
        return contacts.filter(contact => distance(contact) < distance(currentContact) && !isAvoided(contact, now))
            .sort((a, b) => distance(a) - distance(b))[0]?.address;
    };

    const bestAddress = (now: number): string | undefined => {
        const rank = (contact: StateHostContact): number =>
            (isAvoided(contact, now) ? 10 : 0) + distance(contact) + cfg.random.next() / 2;
        return candidates().filter(contact => contact.address !== current)
            .map(contact => ({ address: contact.address, rank: rank(contact) }))
            .sort((a, b) => a.rank - b.rank)[0]?.address;
    };

    /** Before the first view there is nothing to lose, so the next host is tried sooner. */
    const viewTimeoutMs = (): number => {
        if (current === undefined) {
            return retryIntervalMs;
        }
        return viewConfirmedAt === -Infinity ? firstViewTimeoutMs : maxViewAgeMs;
    };

    return {
        setContacts: list => {
            contacts = list;
        },
        setSeeds: list => {
            seeds = [...list];
        },
        connectionLost: (address, now) => {
            avoidedUntil.set(address, now + failedHostAvoidanceMs);
            if (current === address) {
                current = undefined;
            }
        },
        viewConfirmed: (address, ageMs, now) => {
            if (address === current) {
                viewConfirmedAt = Math.max(viewConfirmedAt, now - ageMs);
            }
        },
        partReceived: (address, now) => {
            if (address === current) {
                lastPartAt = now;
            }
        },
        nextAddress: now => {
            // Moving in the middle of a long update would start it again on another link, and fill that link in turn.
            const isReceivingParts = now - lastPartAt < partTimeoutMs;
            const isViewUsable = isReceivingParts || now - viewConfirmedAt <= maxViewAgeMs;
            const nearer = current !== undefined && isViewUsable ? nearerAddress(now) : undefined;
            if (nearer !== undefined) {
                hasMovedCloser = true;
                lastAttemptAt = now;
                current = nearer;
                return nearer;
            }
            if ((current !== undefined && isViewUsable) || now - lastAttemptAt < viewTimeoutMs()) {
                return undefined;
            }
            if (current !== undefined) {
                avoidedUntil.set(current, now + failedHostAvoidanceMs);
            }
            const address = bestAddress(now);
            if (address !== undefined) {
                lastAttemptAt = now;
                current = address;
            }
            return address;
        },
        currentAddress: () => current,
        viewAgeMs: now => now - viewConfirmedAt,
    };
};
