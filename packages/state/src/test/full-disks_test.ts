import { StateReplyKind } from "@cassiapick/core";
import { expect } from "chai";
import { createDriverFleet, until } from "./driver-fleet.js";

const seed = 48;

// Guards against state hosts that refuse changes for good after their disks were full for a while.
describe("state hosts whose disks are full", () => {
    const fleet = createDriverFleet({ seed });
    const { drivers, disks, start, leaderId, votersOfLeader, publish } = fleet;
    afterEach(() => fleet.stop());

    const hostIds = ["a", "b", "c", "d", "e"];

    it("all take changes again after each disk was full until its host was no voter", async () => {
        for (const hostId of hostIds) {
            await start(hostId, ["a", "b", "c"]);
        }
        await until(() => votersOfLeader().length === hostIds.length);
        for (const hostId of hostIds) {
            disks.get(hostId)!.setFull(true);
            // The write fails where the host is asked, or where the leader sends the change to.
            void publish(hostId, 1 + hostIds.indexOf(hostId));
            await until(() => leaderId() !== undefined && !votersOfLeader().includes(hostId));
            disks.get(hostId)!.setFull(false);
            await until(() => votersOfLeader().length === hostIds.length);
        }
        for (const hostId of hostIds) {
            expect(await publish(hostId, 10), hostId).to.equal(StateReplyKind.Recorded);
        }
    });

    it("keep the contacts that they were told of", async () => {
        for (const hostId of ["a", "b", "c"]) {
            await start(hostId, ["a", "b", "c"]);
        }
        await until(() => votersOfLeader().length === 3);
        await start("f", ["stale seed"]);
        disks.get("f")!.setFull(true);
        drivers.get("f")!.addContacts([leaderId()!]);
        await until(() => !drivers.get("f")!.isStorageHealthy());
        disks.get("f")!.setFull(false);
        await until(() => votersOfLeader().includes("f"));
        expect(await publish("f", 1)).to.equal(StateReplyKind.Recorded);
    });
});
