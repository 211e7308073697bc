/** Decides which members of a pool may be picked, by a pure function that ejects suspected members down to the floor. */

/** A pool member, as ejection needs it. Backend servers that are leaving or whose lease has ended are not members. */
export interface ViewMember {
    serverId: string;
    slots: number;
    cold: boolean;
}

/** The evidence that a member is unhealthy. */
export interface Suspicion {
    serverId: string;
    /** Strength of the evidence; a larger value is stronger. */
    evidence: number;
    /** Whether several hosts agree. Otherwise the cause may be this host's own link, and only this host ejects the member. */
    confirmedByFleet?: boolean;
}

/** The members of a pool by how they may be picked. */
export interface EffectiveView {
    /** Picked first. */
    healthy: string[];
    /** Suspected but kept by the floor; picked last. */
    keptByFloor: string[];
    ejected: string[];
}

/** Options of {@link computeEffectiveView}. */
export interface EffectiveViewInput {
    members: ViewMember[];
    suspicions: Suspicion[];
    /** The number of slots that must remain. */
    floorSlots: number;
}

const byDescendingEvidence = (a: Suspicion, b: Suspicion): number =>
    b.evidence - a.evidence || (a.serverId < b.serverId ? -1 : 1);

// Several hosts may suspect one member, but its capacity must be subtracted only once; the strongest evidence counts.
const strongestPerServer = (suspicions: Suspicion[]): Suspicion[] => {
    const strongest = new Map<string, Suspicion>();
    for (const suspicion of suspicions) {
        if (suspicion.evidence > (strongest.get(suspicion.serverId)?.evidence ?? -Infinity)) {
            strongest.set(suspicion.serverId, suspicion);
        }
    }
    return [...strongest.values()];
};

/**
 * Ejects the members with the strongest evidence first, as long as the remaining slots do not fall below the floor.
 *
 * Cold members provide no capacity yet, so they do not count towards the floor.
 */
export const computeEffectiveView = (input: EffectiveViewInput): EffectiveView => {
    const members = new Map(input.members.map(member => [member.serverId, member]));
    const suspected = strongestPerServer(input.suspicions).filter(suspicion => members.has(suspicion.serverId)).sort(
        byDescendingEvidence,
    );
    const suspectedIds = new Set(suspected.map(suspicion => suspicion.serverId));
    const capacityOf = (serverId: string): number => {
        const member = members.get(serverId);
        return member === undefined || member.cold ? 0 : member.slots;
    };
    let remaining = input.members.reduce((sum, member) => sum + capacityOf(member.serverId), 0);
    const ejected: string[] = [];
    const keptByFloor: string[] = [];
    for (const { serverId } of suspected) {
        const remainingAfter = remaining - capacityOf(serverId);
        if (remainingAfter >= input.floorSlots) {
            remaining = remainingAfter;
            ejected.push(serverId);
        }
        else {
            keptByFloor.push(serverId);
        }
    }
    const healthy = input.members.map(member => member.serverId).filter(serverId => !suspectedIds.has(serverId));
    return { healthy, keptByFloor, ejected };
};
