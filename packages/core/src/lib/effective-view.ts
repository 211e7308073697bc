/** Which members of a pool may be picked: ejection as a pure function that stops at the floor. */

/** A member as ejection sees it. Members that leave or whose lease has ended are not members. */
export interface ViewMember {
    serverId: string;
    slots: number;
    cold: boolean;
}

/** How ill a member seems. */
export interface Suspicion {
    serverId: string;
    /** Strength of the evidence; larger is more ill. */
    evidence: number;
    /** Whether several hosts agree. Otherwise the cause may be this host's own link, and only this host acts on it. */
    fleet?: boolean;
}

/** The members of a pool, divided by what picking does with them. */
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
    /** Slots that must stay. */
    floorSlots: number;
}

const worstFirst = (a: Suspicion, b: Suspicion): number => b.evidence - a.evidence || (a.serverId < b.serverId ? -1 : 1);

// Several hosts may suspect one member; its capacity must be taken off once, by the strongest evidence.
const strongestOfEach = (suspicions: Suspicion[]): Suspicion[] => {
    const strongest = new Map<string, Suspicion>();
    for (const suspicion of suspicions) {
        if (suspicion.evidence > (strongest.get(suspicion.serverId)?.evidence ?? -Infinity)) {
            strongest.set(suspicion.serverId, suspicion);
        }
    }
    return [...strongest.values()];
};

/**
 * Ejects the worst members first and stops before the slots that remain fall below the floor.
 *
 * Cold members are not capacity yet, so they do not count towards the floor.
 */
export const computeEffectiveView = (input: EffectiveViewInput): EffectiveView => {
    const members = new Map(input.members.map(member => [member.serverId, member]));
    const suspected = strongestOfEach(input.suspicions).filter(each => members.has(each.serverId)).sort(worstFirst);
    const suspectedIds = new Set(suspected.map(suspicion => suspicion.serverId));
    const capacityOf = (serverId: string): number => {
        const member = members.get(serverId);
        return member === undefined || member.cold ? 0 : member.slots;
    };
    let remaining = input.members.reduce((sum, member) => sum + capacityOf(member.serverId), 0);
    const ejected: string[] = [];
    const keptByFloor: string[] = [];
    for (const { serverId } of suspected) {
        const after = remaining - capacityOf(serverId);
        if (after >= input.floorSlots) {
            remaining = after;
            ejected.push(serverId);
        }
        else {
            keptByFloor.push(serverId);
        }
    }
    const healthy = input.members.map(member => member.serverId).filter(serverId => !suspectedIds.has(serverId));
    return { healthy, keptByFloor, ejected };
};
