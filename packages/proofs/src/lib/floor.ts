/** Proof: ejection never takes healthy capacity under the floor, whatever happens in whatever order. */
import { computeNaiveView } from "@cassiapick/baseline";
import { computeEffectiveView, createRandom } from "@cassiapick/core";
import type { EffectiveView, EffectiveViewInput, ViewMember } from "@cassiapick/core";
import { createFloorPool, happen, presentSuspicions, viewMembers } from "./floor-sequence.js";
import type { Proof } from "./proof.js";

const sequences = 200;
const eventsPerSequence = 100;
const maxNotes = 5;

const warmSlots = (members: ViewMember[]): number => members.reduce((sum, member) => sum + (member.cold ? 0 : member.slots), 0);

/** Whether the pool has less warm capacity than the floor, or than it has at all when that is less. */
const isUnderFloor = (input: EffectiveViewInput, view: EffectiveView): boolean => {
    const ejected = new Set(view.ejected);
    const left = warmSlots(input.members.filter(member => !ejected.has(member.serverId)));
    return left < Math.min(input.floorSlots, warmSlots(input.members));
};

/** Whether each member is in exactly one part, and only suspected ones are ejected or picked last. */
const isPartition = (input: EffectiveViewInput, view: EffectiveView): boolean => {
    const parts = [...view.healthy, ...view.keptByFloor, ...view.ejected].sort();
    const ids = input.members.map(member => member.serverId).sort();
    const suspected = new Set(input.suspicions.map(suspicion => suspicion.serverId));
    return parts.join() === ids.join()
        && [...view.keptByFloor, ...view.ejected].every(serverId => suspected.has(serverId))
        && view.healthy.every(serverId => !suspected.has(serverId));
};

/** Whether a member was kept by the floor although it could have gone. */
const keepsTooMany = (input: EffectiveViewInput, view: EffectiveView): boolean => {
    const ejected = new Set(view.ejected);
    const left = input.members.filter(member => !ejected.has(member.serverId));
    const spare = warmSlots(left) - input.floorSlots;
    return left.some(member => view.keptByFloor.includes(member.serverId) && warmSlots([member]) <= spare);
};

const violationOf = (input: EffectiveViewInput, view: EffectiveView): string | undefined => {
    if (isUnderFloor(input, view)) {
        return "capacity is under the floor";
    }
    if (!isPartition(input, view)) {
        return "the parts of the view do not add up";
    }
    return keepsTooMany(input, view) ? "a suspected member is kept without need" : undefined;
};

/** Runs the proof of the floor: a case is a sequence of events, checked after each event. */
export const proveFloor: Proof = options => {
    const random = createRandom(options.seed);
    const notes: string[] = [];
    let naiveViolated = 0;
    let ownViolated = 0;
    for (let sequence = 0; sequence < sequences; sequence += 1) {
        const pool = createFloorPool();
        let naive: string | undefined;
        let own: string | undefined;
        for (let event = 0; event < eventsPerSequence && own === undefined; event += 1) {
            const kind = happen(pool, random);
            const input = { members: viewMembers(pool), suspicions: presentSuspicions(pool), floorSlots: pool.floorSlots };
            naive ??= violationOf(input, computeNaiveView(input));
            own = violationOf(input, computeEffectiveView(input));
            if (own !== undefined) {
                notes.push(`sequence ${sequence}, event ${event} (${kind}): ${own}`);
            }
        }
        naiveViolated += naive === undefined ? 0 : 1;
        ownViolated += own === undefined ? 0 : 1;
    }
    return Promise.resolve({ cases: sequences, naiveViolated, ownViolated, notes: notes.slice(0, maxNotes) });
};
