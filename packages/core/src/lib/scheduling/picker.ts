/** Picks the member for the next attempt. */
import type { SchedulerCfg, SchedulerMember } from "./scheduler-contract.js";
import type { ShedBackoffTracker } from "./shed-backoff.js";
import type { SlotShare } from "./slot-share.js";
import { sharedSlots, SlotShareKind, wholeShare } from "./slot-share.js";
import type { SlotTracker } from "./slot-tracker.js";
import type { SlowStart } from "./slow-start.js";
import type { StandByLimits } from "./stand-by-limit.js";

/** The constraints of a waiting attempt on the member that is picked. */
export interface PickRequest {
    exclude: readonly string[];
    allowExcluded: boolean;
}

/** The picker of one pool. Times are in milliseconds. */
export interface Picker {
    setMembers(members: readonly SchedulerMember[]): void;
    setShare(share: SlotShare): void;
    /** Returns the best member with a free slot. */
    pick(request: PickRequest, now: number): SchedulerMember | undefined;
    /** Whether any member, free or busy, may serve the request. */
    canServe(request: PickRequest): boolean;
    /** The slots of all members, whichever host may grant them. */
    poolSlots(): number;
    /** The slots that this host may grant now, free or busy. */
    grantableSlots(now: number): number;
    isEmpty(): boolean;
}

/** The state that the picker reads. */
export interface PickerDependencies {
    cfg: SchedulerCfg;
    slotTracker: SlotTracker;
    shedBackoffs: ShedBackoffTracker;
    slowStart: SlowStart;
    standByLimits: StandByLimits;
}

/** Creates the picker of a pool without members. */
export const createPicker = (dependencies: PickerDependencies): Picker => {
    const { cfg, slotTracker, shedBackoffs, slowStart, standByLimits } = dependencies;
    let members: readonly SchedulerMember[] = [];
    let share: SlotShare = wholeShare;
    let poolSlots = 0;

    const isRemote = (member: SchedulerMember): boolean => member.region !== cfg.region;

    const setMembers = (next: readonly SchedulerMember[]): void => {
        members = next;
        poolSlots = members.reduce((sum, member) => sum + member.slots, 0);
    };

    const sharedSlotsOf = (member: SchedulerMember): number => sharedSlots(share, member.serverId, member.slots);

    const regionHasCapacity = (now: number): boolean =>
        members.some(member => !isRemote(member) && !member.keptByFloor && shedBackoffs.maxInFlight(member.serverId, now) > 0);

    // The owners in other regions count only their own attempts, so this host takes at most `remoteSlots` of a member there
    // while its own region has capacity.
    const remoteLimit = (now: number): number => regionHasCapacity(now) ? cfg.remoteSlots ?? 0 : Infinity;

    const standByLimitOf = (serverId: string, now: number): number =>
        share.kind === SlotShareKind.StandBy ? standByLimits.maxInFlight(serverId, now) : Infinity;

    const limitOf = (member: SchedulerMember, now: number): number => {
        const { serverId } = member;
        const limits = [
            shedBackoffs.maxInFlight(serverId, now),
            slowStart.maxInFlight(serverId, now),
            standByLimitOf(serverId, now),
        ];
        const limit = Math.min(sharedSlotsOf(member), ...limits);
        return isRemote(member) ? Math.min(limit, remoteLimit(now)) : limit;
    };

    const distance = (member: SchedulerMember): number => {
        if (member.availabilityZone === cfg.availabilityZone) {
            return 0;
        }
        return isRemote(member) ? 2 : 1;
    };

    const load = (member: SchedulerMember, now: number): number =>
        (slotTracker.inFlight(member.serverId) + 1) / limitOf(member, now);

    const compare = (a: SchedulerMember, b: SchedulerMember, now: number): number =>
        Number(a.keptByFloor) - Number(b.keptByFloor) || distance(a) - distance(b) || load(a, now) - load(b, now);

    const pickBest = (candidates: readonly SchedulerMember[], now: number): SchedulerMember | undefined => {
        const free = candidates.filter(member => slotTracker.inFlight(member.serverId) < limitOf(member, now));
        return free.reduce<SchedulerMember | undefined>(
            (currentBest, member) => currentBest === undefined || compare(member, currentBest, now) < 0 ? member : currentBest,
            undefined,
        );
    };

    const eligible = (request: PickRequest): readonly SchedulerMember[] => {
        if (request.exclude.length === 0) {
            return members;
        }
        const others = members.filter(member => !request.exclude.includes(member.serverId) && sharedSlotsOf(member) > 0);
        return others.length === 0 && request.allowExcluded ? members : others;
    };

    const pick = (request: PickRequest, now: number): SchedulerMember | undefined => pickBest(eligible(request), now);

    const grantableSlots = (now: number): number => members.reduce((total, member) => total + limitOf(member, now), 0);

    return {
        setMembers,
        setShare: next => {
            share = next;
        },
        pick,
        canServe: request => eligible(request).some(member => sharedSlotsOf(member) > 0),
        grantableSlots,
        poolSlots: () => poolSlots,
        isEmpty: () => members.length === 0,
    };
};
