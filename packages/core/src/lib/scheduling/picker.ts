/** Picks the member that gets the next attempt. */
import type { HoldBacks } from "./hold-back.js";
import type { SchedulerCfg, SchedulerMember } from "./scheduler-contract.js";
import type { SlotLedger } from "./slot-ledger.js";
import type { SlotShare } from "./slot-share.js";
import { sharedSlots, SlotShareKind, wholeShare } from "./slot-share.js";
import type { SlowStart } from "./slow-start.js";
import type { StandByLimits } from "./stand-by-limit.js";

/** What picking needs to know of a waiting attempt. */
export interface PickWish {
    exclude: readonly string[];
    allowExcluded: boolean;
}

/** The picker of one pool. Times are in milliseconds. */
export interface Picker {
    setMembers(members: readonly SchedulerMember[]): void;
    setShare(share: SlotShare): void;
    /** The best member with a free slot. */
    pick(wish: PickWish, now: number): SchedulerMember | undefined;
    /** Whether any member, free or busy, may ever serve the wish. */
    canServe(wish: PickWish): boolean;
    /** The slots of all members, whoever may grant them now. */
    poolSlots(): number;
    /** The slots that this host may grant now, free or busy. */
    grantableSlots(now: number): number;
    isEmpty(): boolean;
}

/** What the picker reads. */
export interface PickerParts {
    cfg: SchedulerCfg;
    ledger: SlotLedger;
    holdBacks: HoldBacks;
    slowStart: SlowStart;
    standBy: StandByLimits;
}

/** Creates the picker of a pool without members. */
export const createPicker = (parts: PickerParts): Picker => {
    const { cfg, ledger, holdBacks, slowStart, standBy } = parts;
    let members: readonly SchedulerMember[] = [];
    let share: SlotShare = wholeShare;
    let poolSlots = 0;

    const isRemote = (member: SchedulerMember): boolean => member.region !== cfg.region;

    const setMembers = (next: readonly SchedulerMember[]): void => {
        members = next;
        poolSlots = members.reduce((sum, member) => sum + member.slots, 0);
    };

    const shareOf = (member: SchedulerMember): number => sharedSlots(share, member.serverId, member.slots);

    const regionServes = (now: number): boolean =>
        members.some(member => !isRemote(member) && !member.keptByFloor && holdBacks.capOf(member.serverId, now) > 0);

    // The owners of the other regions count their own slots, so this host keeps off them while its own region serves.
    const reach = (now: number): number => regionServes(now) ? cfg.remoteSlots ?? 0 : Infinity;

    const standByCap = (serverId: string, now: number): number =>
        share.kind === SlotShareKind.StandBy ? standBy.capOf(serverId, now) : Infinity;

    const limitOf = (member: SchedulerMember, now: number): number => {
        const { serverId } = member;
        const caps = [holdBacks.capOf(serverId, now), slowStart.capOf(serverId, now), standByCap(serverId, now)];
        const limit = Math.min(shareOf(member), ...caps);
        return isRemote(member) ? Math.min(limit, reach(now)) : limit;
    };

    const distance = (member: SchedulerMember): number => {
        if (member.availabilityZone === cfg.availabilityZone) {
            return 0;
        }
        return isRemote(member) ? 2 : 1;
    };

    const load = (member: SchedulerMember, now: number): number => (ledger.inFlight(member.serverId) + 1) / limitOf(member, now);

    const compare = (a: SchedulerMember, b: SchedulerMember, now: number): number =>
        Number(a.keptByFloor) - Number(b.keptByFloor) || distance(a) - distance(b) || load(a, now) - load(b, now);

    const best = (candidates: readonly SchedulerMember[], now: number): SchedulerMember | undefined => {
        const free = candidates.filter(member => ledger.inFlight(member.serverId) < limitOf(member, now));
        return free.reduce<SchedulerMember | undefined>(
            (first, member) => first === undefined || compare(member, first, now) < 0 ? member : first,
            undefined,
        );
    };

    const eligible = (wish: PickWish): readonly SchedulerMember[] => {
        if (wish.exclude.length === 0) {
            return members;
        }
        const others = members.filter(member => !wish.exclude.includes(member.serverId) && shareOf(member) > 0);
        return others.length === 0 && wish.allowExcluded ? members : others;
    };

    const pick = (wish: PickWish, now: number): SchedulerMember | undefined => best(eligible(wish), now);

    const grantableSlots = (now: number): number => members.reduce((total, member) => total + limitOf(member, now), 0);

    return {
        setMembers,
        setShare: next => {
            share = next;
        },
        pick,
        canServe: wish => eligible(wish).some(member => shareOf(member) > 0),
        grantableSlots,
        poolSlots: () => poolSlots,
        isEmpty: () => members.length === 0,
    };
};
