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

/**
 * The most attempts of this host that one member may have in flight.
 *
 * A stand-by may come to take all of them, but only step by step: see `createStandByLimits`.
 */
export const sharedSlots = (share: SlotShare, serverId: string, slots: number): number =>
    share.kind === SlotShareKind.StandBy
        ? slots
        : ownedSlots({ serverId, slots, ownerIndex: share.ownerIndex, owners: share.owners });
