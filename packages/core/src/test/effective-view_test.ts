import { expect } from "chai";
import { computeEffectiveView } from "../index.js";
import type { EffectiveView, Suspicion, ViewMember } from "../index.js";

const warm = (serverId: string, slots = 3): ViewMember => ({ serverId, slots, cold: false });
const cold = (serverId: string): ViewMember => ({ ...warm(serverId), cold: true });
const suspicion = (serverId: string, evidence: number): Suspicion => ({ serverId, evidence });

interface Case {
    title: string;
    members: ViewMember[];
    suspicions: Suspicion[];
    floorSlots: number;
    view: Partial<EffectiveView>;
}

const threeMembers = [warm("a"), warm("b"), warm("c")];

const cases: Case[] = [
    {
        title: "ejects the member with the strongest evidence first and stops at the floor",
        members: threeMembers,
        suspicions: [suspicion("a", 1), suspicion("b", 2)],
        floorSlots: 6,
        view: { healthy: ["c"], keptByFloor: ["a"], ejected: ["b"] },
    },
    {
        title: "readmits the member with the weakest evidence when a healthy member departs",
        members: [warm("a"), warm("b")],
        suspicions: [suspicion("a", 1), suspicion("b", 2)],
        floorSlots: 3,
        view: { keptByFloor: ["a"], ejected: ["b"] },
    },
    {
        title: "ejects no member of a pool below its floor",
        members: threeMembers,
        suspicions: [suspicion("a", 1)],
        floorSlots: 10,
        view: { keptByFloor: ["a"], ejected: [] },
    },
    {
        title: "does not count cold members as capacity",
        members: [warm("a"), cold("b"), cold("c")],
        suspicions: [suspicion("a", 1)],
        floorSlots: 3,
        view: { keptByFloor: ["a"], ejected: [] },
    },
    {
        title: "subtracts a member's capacity once when several hosts suspect it",
        members: threeMembers,
        suspicions: [suspicion("a", 1), suspicion("a", 2), suspicion("b", 1.5)],
        floorSlots: 3,
        view: { healthy: ["c"], keptByFloor: [], ejected: ["a", "b"] },
    },
    {
        title: "orders members with equal evidence by ID, so that all hosts agree",
        members: threeMembers,
        suspicions: [suspicion("b", 1), suspicion("a", 1)],
        floorSlots: 6,
        view: { keptByFloor: ["b"], ejected: ["a"] },
    },
];

describe("effective view", () => {
    for (const { title, view, ...input } of cases) {
        it(title, () => expect(computeEffectiveView(input)).to.deep.include(view));
    }
});
