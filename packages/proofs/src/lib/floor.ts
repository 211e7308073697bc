/** Proof: ejection never takes healthy capacity under the floor. */
import { computeNaiveView } from "@cassiapick/baseline";
import { computeEffectiveView, createRandom } from "@cassiapick/core";
import type { EffectiveView, EffectiveViewInput, Random } from "@cassiapick/core";
import type { Proof } from "./proof.js";

const cases = 2000;

const drawInput = (random: Random): EffectiveViewInput => {
    const members = Array.from({ length: 1 + random.below(14) }, (_, index) => ({
        serverId: `server-${index}`,
        slots: 1 + random.below(4),
        cold: random.next() < 0.15,
    }));
    const suspicions = members.filter(() => random.next() < 0.5).map(member => ({
        serverId: member.serverId,
        evidence: random.next() * 10,
    }));
    const warmSlots = members.reduce((sum, member) => sum + (member.cold ? 0 : member.slots), 0);
    return { members, suspicions, floorSlots: Math.ceil(warmSlots * random.next()) };
};

const violates = (input: EffectiveViewInput, view: EffectiveView): boolean => {
    const kept = new Set([...view.healthy, ...view.keptByFloor]);
    const warm = input.members.filter(member => !member.cold);
    const total = warm.reduce((sum, member) => sum + member.slots, 0);
    const left = warm.filter(member => kept.has(member.serverId)).reduce((sum, member) => sum + member.slots, 0);
    return left < Math.min(input.floorSlots, total);
};

/** Runs the proof of the floor. */
export const proveFloor: Proof = options => {
    const random = createRandom(options.seed);
    let naiveViolated = 0;
    let ownViolated = 0;
    for (let index = 0; index < cases; index += 1) {
        const input = drawInput(random);
        naiveViolated += violates(input, computeNaiveView(input)) ? 1 : 0;
        ownViolated += violates(input, computeEffectiveView(input)) ? 1 : 0;
    }
    return Promise.resolve({ cases, naiveViolated, ownViolated, notes: [] });
};
