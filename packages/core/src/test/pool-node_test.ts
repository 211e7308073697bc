import { expect } from "chai";
import { AttemptClass, createPoolNode, createRandom, DetectionMode, SchedulerActionKind, ServerState } from "../index.js";
import type { Announcement, PoolNode } from "../index.js";

const pool = { destination: "d", service: "s", floorShare: 0.5, detection: DetectionMode.Prompt };
const serviceMs = 5;

const server = (id: string): Announcement => ({
    id,
    host: "127.0.0.1",
    port: 1,
    region: "r",
    availabilityZone: "z",
    services: ["s"],
    slots: 3,
    incarnation: 1,
    sequence: 1,
    state: ServerState.Ready,
    cold: false,
});

/** Serves requests one after the other; the ill member answers 500. */
const serve = (node: PoolNode, count: number, illId: string, from: number): number => {
    let now = from;
    for (let index = 0; index < count; index += 1) {
        const attemptId = `a${now}`;
        const wish = {
            attemptId,
            brand: "b",
            requestKind: "k",
            deadlineAt: now + 1000,
            arrivedAt: now,
            idempotent: true,
            tried: [],
        };
        const granted = node.submit(wish, now).scheduled[0];
        if (granted?.kind !== SchedulerActionKind.Grant) {
            continue;
        }
        node.started(attemptId, granted.serverId, "k", now);
        now += serviceMs;
        node.ended(
            attemptId,
            granted.serverId,
            granted.serverId === illId ? AttemptClass.ServerError : AttemptClass.Success,
            undefined,
            now,
        );
        node.tick(now);
    }
    return now;
};

const edits = [
    {
        name: "another mode starts detection afresh",
        next: { ...pool, detection: DetectionMode.Careful },
        ejected: [] as string[],
    },
    { name: "another floor re-admits at once", next: { ...pool, floorShare: 1 }, ejected: [] as string[] },
    { name: "the same row keeps the ejection", next: { ...pool }, ejected: ["ill"] },
];

describe("createPoolNode", () => {
    for (const { name, next, ejected } of edits) {
        it(`when its row is edited: ${name}`, () => {
            const node = createPoolNode({ pool, region: "r", availabilityZone: "z", random: createRandom(1) });
            node.setMembers([server("ill"), server("well")], 0);
            const now = serve(node, 60, "ill", 1000);
            expect(node.view().ejected).to.deep.equal(["ill"]);
            node.setPool(next, now);
            expect(node.view().ejected).to.deep.equal(ejected);
        });
    }
});
