/** Applies random sequences of events to a simulated pool. */
import type { Random, Suspicion, ViewMember } from "@cassiapick/core";

/** The kinds of events that change a pool. */
export enum FloorEventKind {
    Join = "join",
    Leave = "leave",
    Expire = "expire",
    Restart = "restart",
    Warm = "warm",
    Suspect = "suspect",
    Clear = "clear",
    /** Another host sends a suspicion; suspicions in transit arrive late and in any order. */
    Remote = "remote",
    FloorEdit = "floor-edit",
}

/** A member of the pool; a suspicion is about one incarnation of it. */
export interface FloorMember extends ViewMember {
    incarnation: number;
    leaving: boolean;
}

/** A suspicion of one host about one incarnation of a member. */
export interface HostSuspicion extends Suspicion {
    hostId: string;
    incarnation: number;
}

/** The state of a pool at one host. */
export interface FloorPool {
    members: Map<string, FloorMember>;
    /** By host and member, separated by a space. */
    suspicions: Map<string, HostSuspicion>;
    /** Suspicions that other hosts have sent and that have not arrived yet. */
    inTransit: HostSuspicion[];
    floorSlots: number;
    /** The number of members that have ever joined. */
    joinCount: number;
}

const maxSlots = 4;
const maxEvidence = 10;
const maxFloorSlots = 30;
const hostIds = ["own", "host-1", "host-2"];

/** Creates an empty pool. */
export const createFloorPool = (): FloorPool => ({
    members: new Map(),
    suspicions: new Map(),
    inTransit: [],
    floorSlots: 0,
    joinCount: 0,
});

const pickRandom = <T>(items: Iterable<T>, random: Random): T | undefined => {
    const candidates = [...items];
    return candidates[random.below(candidates.length)];
};

const drawSuspicion = (pool: FloorPool, hostId: string, random: Random): HostSuspicion | undefined => {
    const member = pickRandom(pool.members.values(), random);
    return member && {
        hostId,
        serverId: member.serverId,
        incarnation: member.incarnation,
        // Integers, so that some members have equal evidence.
        evidence: 1 + random.below(maxEvidence),
    };
};

const storeSuspicion = (pool: FloorPool, suspicion: HostSuspicion | undefined): void => {
    if (suspicion !== undefined) {
        pool.suspicions.set(`${suspicion.hostId} ${suspicion.serverId}`, suspicion);
    }
};

type EventHandler = (pool: FloorPool, random: Random) => void;

const handlers: Readonly<Record<FloorEventKind, EventHandler>> = {
    [FloorEventKind.Join]: (pool, random) => {
        const serverId = `server-${pool.joinCount += 1}`;
        const slots = 1 + random.below(maxSlots);
        pool.members.set(serverId, { serverId, slots, cold: random.next() < 0.3, incarnation: 1, leaving: false });
    },
    [FloorEventKind.Leave]: (pool, random) => {
        const member = pickRandom(pool.members.values(), random);
        if (member !== undefined) {
            member.leaving = true;
        }
    },
    [FloorEventKind.Expire]: (pool, random) => {
        const member = pickRandom(pool.members.values(), random);
        pool.members.delete(member?.serverId ?? "");
    },
    [FloorEventKind.Restart]: (pool, random) => {
        const member = pickRandom(pool.members.values(), random);
        if (member !== undefined) {
            Object.assign(member, { incarnation: member.incarnation + 1, cold: true, leaving: false });
        }
    },
    [FloorEventKind.Warm]: (pool, random) => {
        const member = pickRandom(pool.members.values(), random);
        if (member !== undefined) {
            member.cold = false;
        }
    },
    [FloorEventKind.Suspect]: (pool, random) => storeSuspicion(pool, drawSuspicion(pool, hostIds[0]!, random)),
    [FloorEventKind.Clear]: (pool, random) => {
        const key = pickRandom(pool.suspicions.keys(), random);
        pool.suspicions.delete(key ?? "");
    },
    [FloorEventKind.Remote]: (pool, random) => {
        const suspicion = drawSuspicion(pool, hostIds[1 + random.below(hostIds.length - 1)]!, random);
        if (suspicion !== undefined) {
            pool.inTransit.push(suspicion);
        }
        storeSuspicion(pool, pool.inTransit.splice(random.below(pool.inTransit.length), 1)[0]);
    },
    [FloorEventKind.FloorEdit]: (pool, random) => {
        pool.floorSlots = random.below(maxFloorSlots);
    },
};

const eventKinds = Object.values(FloorEventKind);
// Joins are about as frequent as all departures together, so that pools grow and shrink.
const joinShare = 0.25;

/** Applies one random event and returns its kind. */
export const applyRandomEvent = (pool: FloorPool, random: Random): FloorEventKind => {
    const kind = random.next() < joinShare ? FloorEventKind.Join : eventKinds[random.below(eventKinds.length)]!;
    handlers[kind](pool, random);
    return kind;
};

/** Returns the members that may get new requests: those that are announced and not leaving. */
export const viewMembers = (pool: FloorPool): ViewMember[] => [...pool.members.values()].filter(member => !member.leaving);

/** Returns the suspicions about current incarnations; several hosts may suspect the same member. */
export const currentSuspicions = (pool: FloorPool): Suspicion[] =>
    [...pool.suspicions.values()].filter(({ serverId, incarnation }) => pool.members.get(serverId)?.incarnation === incarnation);
