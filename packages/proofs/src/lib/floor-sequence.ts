/** Random sequences of what changes a pool, and the pool that they lead to. */
import type { Random, Suspicion, ViewMember } from "@cassiapick/core";

/** What happens to a pool. */
export enum FloorEventKind {
    Join = "join",
    Leave = "leave",
    Expire = "expire",
    Restart = "restart",
    Warm = "warm",
    Suspect = "suspect",
    Clear = "clear",
    /** Suspicions of another host, which arrive late and in any order. */
    Remote = "remote",
    FloorEdit = "floor-edit",
}

/** A member with the incarnation that suspicions are bound to. */
export interface FloorMember extends ViewMember {
    incarnation: number;
    leaving: boolean;
}

/** A suspicion as one host holds it. */
export interface HeldSuspicion extends Suspicion {
    host: string;
    incarnation: number;
}

/** A pool as a host sees it. */
export interface FloorPool {
    members: Map<string, FloorMember>;
    /** By host and member. */
    suspicions: Map<string, HeldSuspicion>;
    /** Sent by other hosts and not yet arrived. */
    underway: HeldSuspicion[];
    floorSlots: number;
    joined: number;
}

const maxSlots = 4;
const maxEvidence = 10;
const maxFloorSlots = 30;
const hosts = ["own", "host-1", "host-2"];

/** Creates an empty pool. */
export const createFloorPool = (): FloorPool => ({
    members: new Map(),
    suspicions: new Map(),
    underway: [],
    floorSlots: 0,
    joined: 0,
});

const pickFrom = <T>(items: Iterable<T>, random: Random): T | undefined => {
    const all = [...items];
    return all[random.below(all.length)];
};

const drawSuspicion = (pool: FloorPool, host: string, random: Random): HeldSuspicion | undefined => {
    const member = pickFrom(pool.members.values(), random);
    return member && {
        host,
        serverId: member.serverId,
        incarnation: member.incarnation,
        // Whole numbers, so that equal evidence is drawn too.
        evidence: 1 + random.below(maxEvidence),
    };
};

const hold = (pool: FloorPool, suspicion: HeldSuspicion | undefined): void => {
    if (suspicion !== undefined) {
        pool.suspicions.set(`${suspicion.host} ${suspicion.serverId}`, suspicion);
    }
};

type Handler = (pool: FloorPool, random: Random) => void;

const handlers: Readonly<Record<FloorEventKind, Handler>> = {
    [FloorEventKind.Join]: (pool, random) => {
        const serverId = `server-${pool.joined += 1}`;
        const slots = 1 + random.below(maxSlots);
        pool.members.set(serverId, { serverId, slots, cold: random.next() < 0.3, incarnation: 1, leaving: false });
    },
    [FloorEventKind.Leave]: (pool, random) => {
        const member = pickFrom(pool.members.values(), random);
        if (member !== undefined) {
            member.leaving = true;
        }
    },
    [FloorEventKind.Expire]: (pool, random) => {
        const member = pickFrom(pool.members.values(), random);
        pool.members.delete(member?.serverId ?? "");
    },
    [FloorEventKind.Restart]: (pool, random) => {
        const member = pickFrom(pool.members.values(), random);
        if (member !== undefined) {
            Object.assign(member, { incarnation: member.incarnation + 1, cold: true, leaving: false });
        }
    },
    [FloorEventKind.Warm]: (pool, random) => {
        const member = pickFrom(pool.members.values(), random);
        if (member !== undefined) {
            member.cold = false;
        }
    },
    [FloorEventKind.Suspect]: (pool, random) => hold(pool, drawSuspicion(pool, hosts[0]!, random)),
    [FloorEventKind.Clear]: (pool, random) => {
        const key = pickFrom(pool.suspicions.keys(), random);
        pool.suspicions.delete(key ?? "");
    },
    [FloorEventKind.Remote]: (pool, random) => {
        const sent = drawSuspicion(pool, hosts[1 + random.below(hosts.length - 1)]!, random);
        if (sent !== undefined) {
            pool.underway.push(sent);
        }
        hold(pool, pool.underway.splice(random.below(pool.underway.length), 1)[0]);
    },
    [FloorEventKind.FloorEdit]: (pool, random) => {
        pool.floorSlots = random.below(maxFloorSlots);
    },
};

const kinds = Object.values(FloorEventKind);
// Joins come as often as all the departures, so that pools grow and shrink.
const joinShare = 0.25;

/** Lets one random event happen and returns its kind. */
export const happen = (pool: FloorPool, random: Random): FloorEventKind => {
    const kind = random.next() < joinShare ? FloorEventKind.Join : kinds[random.below(kinds.length)]!;
    handlers[kind](pool, random);
    return kind;
};

/** The members that may get new work: announced and not leaving. */
export const viewMembers = (pool: FloorPool): ViewMember[] => [...pool.members.values()].filter(member => !member.leaving);

/** The suspicions about present incarnations; a member may be suspected by several hosts. */
export const presentSuspicions = (pool: FloorPool): Suspicion[] =>
    [...pool.suspicions.values()].filter(({ serverId, incarnation }) => pool.members.get(serverId)?.incarnation === incarnation);
