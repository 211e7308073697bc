/** Computes the share of the members' slots that a host may grant, by its role. */
import { ownedSlots } from "../ownership.js";

export enum SlotShareKind {
    /** The host owns the (service, region), alone or with other owners. */
    Owner = "owner",
    /** Any host that is not an owner; it may have to serve requests in place of one. */
    StandBy = "stand-by",
}

export type SlotShare =
    /** `ownerIndex` is the host's index, from 0, in the list that `ownersOf` returns. */
    | { kind: SlotShareKind.Owner; ownerIndex: number; owners: number; }
    | { kind: SlotShareKind.StandBy; };

/** The share of a sole owner: every slot. */
export const wholeShare: SlotShare = { kind: SlotShareKind.Owner, ownerIndex: 0, owners: 1 };

/**
 * Returns the maximum number of attempts of this host in flight at one member.
 *
 * For a stand-by this is every slot, but `createStandByLimits` lets it approach that only step by step.
 */
export const sharedSlots = (share: SlotShare, serverId: string, slots: number): number =>
    share.kind === SlotShareKind.StandBy
        ? slots
        : ownedSlots({ serverId, slots, ownerIndex: share.ownerIndex, owners: share.owners });
