import { expect } from "chai";
import { computeEffectiveView } from "../index.js";
import type { EffectiveView, Suspicion, ViewMember } from "../index.js";

const warm = (serverId: string, slots = 3): ViewMember => ({ serverId, slots, cold: false });
const cold = (serverId: string): ViewMember => ({ ...warm(serverId), cold: true });
const ill = (serverId: string, evidence: number): Suspicion => ({ serverId, evidence });

interface Case {
    title: string;
    members: ViewMember[];
    suspicions: Suspicion[];
    floorSlots: number;
    view: Partial<EffectiveView>;
}

const three = [warm("a"), warm("b"), warm("c")];

const cases: Case[] = [
    {
        title: "takes the worst off first and stops at the floor",
        members: three,
        suspicions: [ill("a", 1), ill("b", 2)],
        floorSlots: 6,
        view: { healthy: ["c"], keptByFloor: ["a"], ejected: ["b"] },
    },
    {
        title: "re-admits the least ill when a well member departs",
        members: [warm("a"), warm("b")],
        suspicions: [ill("a", 1), ill("b", 2)],
        floorSlots: 3,
        view: { keptByFloor: ["a"], ejected: ["b"] },
    },
    {
        title: "takes nobody from a pool under its floor",
        members: three,
        suspicions: [ill("a", 1)],
        floorSlots: 10,
        view: { keptByFloor: ["a"], ejected: [] },
    },
    {
        title: "counts no cold member as capacity",
        members: [warm("a"), cold("b"), cold("c")],
        suspicions: [ill("a", 1)],
        floorSlots: 3,
        view: { keptByFloor: ["a"], ejected: [] },
    },
    {
        title: "takes a member off once when several hosts suspect it",
        members: three,
        suspicions: [ill("a", 1), ill("a", 2), ill("b", 1.5)],
        floorSlots: 3,
        view: { healthy: ["c"], keptByFloor: [], ejected: ["a", "b"] },
    },
    {
        title: "orders equal evidence by name, so that all hosts agree",
        members: three,
        suspicions: [ill("b", 1), ill("a", 1)],
        floorSlots: 6,
        view: { keptByFloor: ["b"], ejected: ["a"] },
    },
];

describe("effective view", () => {
    for (const { title, view, ...input } of cases) {
        it(title, () => expect(computeEffectiveView(input)).to.deep.include(view));
    }
});
