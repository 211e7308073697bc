import { expect } from "chai";
import { StateReplyKind } from "../index.js";
import { createTestFleet, publish } from "./state-fleet.js";

// Guards against hosts that were removed as voters during a fault, never learn of it, and refuse all changes afterwards.
describe("state hosts that are absent one after the other", () => {
    const hostIds = ["a", "b", "c", "d", "e"];
    const absences: [name: string, absentMs: number, pauseMs: number][] = [
        ["shorter than the time after which a voter is removed", 2000, 3000],
        ["longer than that", 4500, 1500],
        ["longer than that, one right after the other", 4500, 0],
        ["much longer", 9000, 3000],
    ];
    for (const [name, absentMs, pauseMs] of absences) {
        for (const seed of [1, 2, 3]) {
            it(`all take changes again after absences ${name}, seed ${seed}`, () => {
                const fleet = createTestFleet(["a", "b", "c"], seed);
                hostIds.forEach((hostId, index) => fleet.add(hostId, index < 3));
                fleet.run(5000);
                for (const hostId of hostIds) {
                    fleet.stop(hostId);
                    fleet.run(absentMs);
                    fleet.restart(hostId, false);
                    fleet.run(pauseMs);
                }
                fleet.run(8000);
                hostIds.forEach((hostId, index) => {
                    expect(fleet.request(hostId, publish(index + 1))?.kind, hostId).to.equal(StateReplyKind.Recorded);
                    expect(fleet.node(hostId).voters().sort(), hostId).to.deep.equal(hostIds);
                });
            });
        }
    }

    it("take changes while the other hosts that were removed are still absent", () => {
        const fleet = createTestFleet(["a", "b", "c"], 1);
        hostIds.forEach((hostId, index) => fleet.add(hostId, index < 3));
        fleet.run(5000);
        ["d", "e"].forEach(hostId => {
            fleet.stop(hostId);
            fleet.run(9000);
        });
        fleet.restart("d", false);
        fleet.run(5000);
        expect(fleet.request("d", publish(1))?.kind).to.equal(StateReplyKind.Recorded);
        expect(fleet.node("a").voters().sort()).to.deep.equal(["a", "b", "c", "d"]);
    });
});
