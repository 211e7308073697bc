import { expect } from "chai";
import { AttemptClass, createPoolController, createRandom, DetectionMode, SchedulerActionKind, ServerState } from "../index.js";
import type { Announcement, PoolController } from "../index.js";

const pool = { destination: "d", service: "s", floorShare: 0.5, detection: DetectionMode.Prompt };
const serviceTimeMs = 5;

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

/** Runs requests one after the other; the unhealthy member answers with status 500. Returns the end time. */
const runRequests = (controller: PoolController, count: number, unhealthyId: string, startAt: number): number => {
    let now = startAt;
    for (let index = 0; index < count; index += 1) {
        const attemptId = `a${now}`;
        const slotRequest = {
            attemptId,
            brand: "b",
            requestKind: "k",
            deadlineAt: now + 1000,
            arrivedAt: now,
            idempotent: true,
            triedIds: [],
        };
        const granted = controller.submit(slotRequest, now).schedulerActions[0];
        if (granted?.kind !== SchedulerActionKind.Grant) {
            continue;
        }
        controller.recordStart(attemptId, granted.serverId, "k", now);
        now += serviceTimeMs;
        controller.recordEnd(
            attemptId,
            granted.serverId,
            granted.serverId === unhealthyId ? AttemptClass.ServerError : AttemptClass.Success,
            undefined,
            now,
        );
        controller.tick(now);
    }
    return now;
};

const rowChanges = [
    {
        name: "another detection mode restarts detection",
        next: { ...pool, detection: DetectionMode.Careful },
        ejected: [] as string[],
    },
    { name: "another floor readmits the member at once", next: { ...pool, floorShare: 1 }, ejected: [] as string[] },
    { name: "an unchanged row keeps the ejection", next: { ...pool }, ejected: ["unhealthy"] },
];

describe("createPoolController", () => {
    for (const { name, next, ejected } of rowChanges) {
        it(`handles a change of its pools table row: ${name}`, () => {
            const controller = createPoolController({ pool, region: "r", availabilityZone: "z", random: createRandom(1) });
            controller.setMembers([server("unhealthy"), server("healthy")], 0);
            const now = runRequests(controller, 60, "unhealthy", 1000);
            expect(controller.view().ejected).to.deep.equal(["unhealthy"]);
            controller.setPool(next, now);
            expect(controller.view().ejected).to.deep.equal(ejected);
        });
    }
});
