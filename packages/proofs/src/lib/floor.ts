/** Proof: ejection never takes warm capacity under the floor, for any sequence of events. */
import { computeNaiveView } from "@cassiapick/baseline";
import { computeEffectiveView, createRandom } from "@cassiapick/core";
import type { EffectiveView, EffectiveViewInput, ViewMember } from "@cassiapick/core";
import { applyRandomEvent, createFloorPool, currentSuspicions, viewMembers } from "./floor-sequence.js";
import type { Proof } from "./proof.js";

const sequenceCount = 200;
const eventsPerSequence = 100;
const maxNotes = 5;

const warmSlots = (members: ViewMember[]): number => members.reduce((sum, member) => sum + (member.cold ? 0 : member.slots), 0);

/** Whether less warm capacity is left than the floor, or, when all members together have less than the floor, less than they have. */
const isUnderFloor = (input: EffectiveViewInput, view: EffectiveView): boolean => {
    const ejected = new Set(view.ejected);
    const remainingSlots = warmSlots(input.members.filter(member => !ejected.has(member.serverId)));
    return remainingSlots < Math.min(input.floorSlots, warmSlots(input.members));
};

/** Whether each member is in exactly one part of the view, and exactly the suspected ones are ejected or kept by the floor. */
const isPartition = (input: EffectiveViewInput, view: EffectiveView): boolean => {
    const viewIds = [...view.healthy, ...view.keptByFloor, ...view.ejected].sort();
    const memberIds = input.members.map(member => member.serverId).sort();
    const suspected = new Set(input.suspicions.map(suspicion => suspicion.serverId));
    return viewIds.join() === memberIds.join()
        && [...view.keptByFloor, ...view.ejected].every(serverId => suspected.has(serverId))
        && view.healthy.every(serverId => !suspected.has(serverId));
};

/** Whether the floor keeps a member that could have been ejected without going under the floor. */
const keepsUnneededMember = (input: EffectiveViewInput, view: EffectiveView): boolean => {
    const ejected = new Set(view.ejected);
    const remainingMembers = input.members.filter(member => !ejected.has(member.serverId));
    const spareSlots = warmSlots(remainingMembers) - input.floorSlots;
    return remainingMembers.some(member => view.keptByFloor.includes(member.serverId) && warmSlots([member]) <= spareSlots);
};

const violationOf = (input: EffectiveViewInput, view: EffectiveView): string | undefined => {
    if (isUnderFloor(input, view)) {
        return "warm capacity is under the floor";
    }
    if (!isPartition(input, view)) {
        return "the parts of the view do not match the members and suspicions";
    }
    return keepsUnneededMember(input, view) ? "the floor keeps a suspected member without need" : undefined;
};

/** Runs the proof of the floor: each case is a sequence of events, and both views are checked after each event. */
export const proveFloor: Proof = options => {
    const random = createRandom(options.seed);
    const notes: string[] = [];
    let naiveViolations = 0;
    let cassiapickViolations = 0;
    for (let sequence = 0; sequence < sequenceCount; sequence += 1) {
        const pool = createFloorPool();
        let naiveViolation: string | undefined;
        let cassiapickViolation: string | undefined;
        for (let event = 0; event < eventsPerSequence && cassiapickViolation === undefined; event += 1) {
            const kind = applyRandomEvent(pool, random);
            const input = { members: viewMembers(pool), suspicions: currentSuspicions(pool), floorSlots: pool.floorSlots };
            naiveViolation ??= violationOf(input, computeNaiveView(input));
            cassiapickViolation = violationOf(input, computeEffectiveView(input));
            if (cassiapickViolation !== undefined) {
                notes.push(`sequence ${sequence}, event ${event} (${kind}): ${cassiapickViolation}`);
            }
        }
        naiveViolations += naiveViolation === undefined ? 0 : 1;
        cassiapickViolations += cassiapickViolation === undefined ? 0 : 1;
    }
    return Promise.resolve({ cases: sequenceCount, naiveViolations, cassiapickViolations, notes: notes.slice(0, maxNotes) });
};
