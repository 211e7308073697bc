/** Which part of the members' slots a host may grant, by its role. */
import { ownedSlots } from "../ownership.js";

export enum SlotShareKind {
    /** The host owns the (service, region), alone or with others. */
    Owner = "owner",
    /** The host serves for owners that it can't reach. */
    StandBy = "stand-by",
}

export type SlotShare =
    /** `ownerIndex` counts from 0 in the list that `ownersOf` gives. */
    | { kind: SlotShareKind.Owner; ownerIndex: number; owners: number; }
    | { kind: SlotShareKind.StandBy; };

/** The share of an only owner: every slot. */
export const wholeShare: SlotShare = { kind: SlotShareKind.Owner, ownerIndex: 0, owners: 1 };

/** Slots of one member that a stand-by takes: its owner may still be granting the others. */
const standBySlots = 1;

/** The part of the pool's slots that a stand-by takes in all. */
const standByPoolShare = 0.25;

/** The most attempts of this host that one member may have in flight. */
export const sharedSlots = (share: SlotShare, serverId: string, slots: number): number =>
    share.kind === SlotShareKind.StandBy
        ? Math.min(slots, standBySlots)
        : ownedSlots({ serverId, slots, ownerIndex: share.ownerIndex, owners: share.owners });

/** The most attempts of this host that may be in flight over all members, when these have `slots` in all. */
export const sharedPoolSlots = (share: SlotShare, slots: number): number =>
    share.kind === SlotShareKind.StandBy ? Math.max(1, Math.floor(slots * standByPoolShare)) : Infinity;
