import { StateReplyKind } from "@cassiapick/core";
import { expect } from "chai";
import { createDriverFleet, until } from "./driver-fleet.js";

const seed = 66;
const hostIds = ["a", "b", "c"];
/** More than twice the election timeout of the fleet. */
const replaceMs = 300;

// Guards against state hosts without a leader for as long as their disks save votes more slowly than an election lasts.
describe("state hosts whose disks replace files slowly", function () {
    this.timeout(40_000);

    it("elect a leader and take a change", async () => {
        const fleet = createDriverFleet({ seed, replaceMs });
        try {
            await Promise.all(hostIds.map(hostId => fleet.start(hostId, hostIds)));
            await until(() => fleet.votersOfLeader().length === hostIds.length);
            let outcome = StateReplyKind.Unavailable;
            while (outcome === StateReplyKind.Unavailable) {
                outcome = await fleet.publish("a", 1);
            }
            expect(outcome).to.equal(StateReplyKind.Recorded);
        }
        finally {
            await fleet.stop();
        }
    });
});
