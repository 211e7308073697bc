/** Which state host an entry host listens to: the nearest one whose view a majority has confirmed lately. */
import type { Random } from "../random.js";
import { distanceTo } from "./nearest-contact.js";

/** A state host that can be listened to. */
export interface StateContact {
    /** "host:port" of its link. */
    address: string;
    /** `undefined` while only the address is known. */
    availabilityZone?: string;
    region?: string;
}

/** Options of {@link createAttachment}. */
export interface AttachmentCfg {
    availabilityZone: string;
    region: string;
    seeds: readonly string[];
    random: Random;
}

/** The choice of one entry host; the caller carries out what it returns. */
export interface Attachment {
    /** The state hosts that the fleet names now. */
    setContacts(contacts: readonly StateContact[]): void;
    setSeeds(seeds: readonly string[]): void;
    /** The connection to `address` failed, or ended. */
    lost(address: string, now: number): void;
    /** The attached host's view was confirmed by a majority `ageMs` ago. */
    heard(address: string, ageMs: number, now: number): void;
    /** A part of a long message came from `address`: its view waits behind it. */
    progress(address: string, now: number): void;
    /** Where to connect next, when a new connection is wanted at `now`; `undefined` to stay. */
    next(now: number): string | undefined;
    current(): string | undefined;
    /** Age of what is known, in milliseconds: since a majority confirmed it. */
    ageMs(now: number): number;
}

/** With a view older than this, in milliseconds, another host is tried; well within the 2.5 s in which changes bind. */
const maxViewAgeMs = 1200;
/** A host that failed is tried last for this long, in milliseconds. */
const avoidMs = 3000;
/** How long a host is kept before a nearer one is tried, in milliseconds. */
const settleMs = 1500;
/** How long the first view is waited for, in milliseconds: a state host that leads or follows tells it at once. */
const firstViewMs = 350;
/** A briefing whose parts stop coming for this long has stopped, in milliseconds. */
const progressMs = 500;
/** Shortest time between two tries, in milliseconds. */
const retryMs = 150;

/** Creates the choice of one entry host. */
export const createAttachment = (cfg: AttachmentCfg): Attachment => {
    let seeds = [...cfg.seeds];
    let contacts: readonly StateContact[] = [];
    let current: string | undefined;
    let confirmedAt = -Infinity;
    let triedAt = -Infinity;
    let progressAt = -Infinity;
    let isSettled = false;
    const avoidUntil = new Map<string, number>();

    const distance = (contact: StateContact): number => distanceTo(contact, cfg.availabilityZone, cfg.region);

    const candidates = (): StateContact[] => {
        const known = new Set(contacts.map(contact => contact.address));
        return [...contacts, ...seeds.filter(address => !known.has(address)).map(address => ({ address }))];
    };

    const isAvoided = (contact: StateContact, now: number): boolean => (avoidUntil.get(contact.address) ?? -Infinity) > now;

    /** Bytes between availability zones and regions are billed, so a nearer host is worth a move. */
    const nearer = (now: number): string | undefined => {
        const held = contacts.find(contact => contact.address === current);
        // A seed that the fleet has not named yet is left at once for a host of the own availability zone.
        if (held === undefined || now - triedAt < (isSettled ? settleMs : 0)) {
            return undefined;
        }
        return contacts.filter(contact => distance(contact) < distance(held) && !isAvoided(contact, now))
            .sort((a, b) => distance(a) - distance(b))[0]?.address;
    };

    const best = (now: number): string | undefined => {
        const rank = (contact: StateContact): number =>
            (isAvoided(contact, now) ? 10 : 0) + distance(contact) + cfg.random.next() / 2;
        return candidates().filter(contact => contact.address !== current)
            .map(contact => ({ address: contact.address, rank: rank(contact) }))
            .sort((a, b) => a.rank - b.rank)[0]?.address;
    };

    /** A host without any view has nothing to lose by asking the next one soon. */
    const patienceMs = (): number => {
        if (current === undefined) {
            return retryMs;
        }
        return confirmedAt === -Infinity ? firstViewMs : maxViewAgeMs;
    };

    return {
        setContacts: list => {
            contacts = list;
        },
        setSeeds: list => {
            seeds = [...list];
        },
        lost: (address, now) => {
            avoidUntil.set(address, now + avoidMs);
            if (current === address) {
                current = undefined;
            }
        },
        heard: (address, ageMs, now) => {
            if (address === current) {
                confirmedAt = Math.max(confirmedAt, now - ageMs);
            }
        },
        progress: (address, now) => {
            if (address === current) {
                progressAt = now;
            }
        },
        next: now => {
            // A host that left in the middle of a long briefing would begin another one, and fill its link with them.
            const isBriefed = now - progressAt < progressMs;
            const isFresh = isBriefed || now - confirmedAt <= maxViewAgeMs;
            const move = current !== undefined && isFresh ? nearer(now) : undefined;
            if (move !== undefined) {
                isSettled = true;
                triedAt = now;
                current = move;
                return move;
            }
            if ((current !== undefined && isFresh) || now - triedAt < patienceMs()) {
                return undefined;
            }
            if (current !== undefined) {
                avoidUntil.set(current, now + avoidMs);
            }
            const address = best(now);
            if (address !== undefined) {
                triedAt = now;
                current = address;
            }
            return address;
        },
        current: () => current,
        ageMs: now => now - confirmedAt,
    };
};
