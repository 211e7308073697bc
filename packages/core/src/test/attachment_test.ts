import { expect } from "chai";
import { createAttachment, createRandom } from "../index.js";
import type { Attachment } from "../index.js";

const contacts = [
    { address: "near:1", availabilityZone: "a1", region: "a" },
    { address: "region:1", availabilityZone: "a2", region: "a" },
    { address: "far:1", availabilityZone: "b1", region: "b" },
];

const create = (seeds: string[] = ["seed:1"]): Attachment =>
    createAttachment({ availabilityZone: "a1", region: "a", seeds, random: createRandom(1) });

describe("attachment", () => {
    it("begins with a seed and stays while its view is fresh", () => {
        const attachment = create();
        expect(attachment.next(0)).to.equal("seed:1");
        for (let now = 0; now < 5000; now += 400) {
            attachment.heard("seed:1", 100, now);
            expect(attachment.next(now)).to.equal(undefined);
        }
        expect(attachment.ageMs(5000)).to.be.below(1200);
    });

    const leaving: { name: string; act: (attachment: Attachment, now: number) => void; }[] = [
        {
            name: "leaves a state host that no majority confirms",
            act: (attachment, now) => attachment.heard("near:1", Infinity, now),
        },
        { name: "leaves a state host whose view is old", act: (attachment, now) => attachment.heard("near:1", 1000 + now, now) },
        { name: "leaves a state host that says nothing", act: () => undefined },
    ];
    for (const { name, act } of leaving) {
        it(`${name}, well before changes bind`, () => {
            const attachment = create([]);
            attachment.setContacts(contacts);
            expect(attachment.next(0)).to.equal("near:1");
            attachment.heard("near:1", 0, 0);
            let movedAt: number | undefined;
            for (let now = 100; now < 3000 && movedAt === undefined; now += 100) {
                act(attachment, now);
                const next = attachment.next(now);
                if (next !== undefined) {
                    expect(next).to.equal("region:1");
                    movedAt = now;
                }
            }
            expect(movedAt).to.be.at.most(1500);
        });
    }

    it("does not wait for a view from a state host that has none, as after it lost its disk", () => {
        const attachment = create([]);
        attachment.setContacts(contacts);
        attachment.next(0);
        attachment.heard("near:1", Infinity, 100);
        let movedAt = Infinity;
        for (let now = 100; now < 2000 && movedAt === Infinity; now += 50) {
            movedAt = attachment.next(now) === undefined ? Infinity : now;
        }
        expect(movedAt).to.be.at.most(400);
    });

    // At the grown size a briefing with 350 new routes took longer than the patience, and hosts began one after another.
    it("does not leave in the middle of a long briefing, but soon after one that has stopped", () => {
        const attachment = create([]);
        attachment.setContacts(contacts);
        attachment.next(0);
        for (let now = 50; now < 4000; now += 50) {
            attachment.progress("near:1", now);
            expect(attachment.next(now)).to.equal(undefined);
        }
        expect(attachment.next(4400)).to.equal(undefined);
        expect(attachment.next(4600)).to.equal("region:1");
    });

    it("tries the next one soon when a connection fails, and comes back to no failed one at once", () => {
        const attachment = create([]);
        attachment.setContacts(contacts);
        const tried: (string | undefined)[] = [];
        for (let now = 0; now < 1000; now += 150) {
            const next = attachment.next(now);
            tried.push(next);
            attachment.lost(next ?? "", now);
        }
        expect(tried.slice(0, 3)).to.deep.equal(["near:1", "region:1", "far:1"]);
    });

    it("moves to the nearest state host once it knows where they are, and no further", () => {
        const attachment = create();
        attachment.next(0);
        attachment.setContacts([...contacts, { address: "seed:1", availabilityZone: "b1", region: "b" }]);
        const moves: string[] = [];
        for (let now = 100; now < 8000; now += 100) {
            attachment.heard(attachment.current() ?? "", 50, now);
            const next = attachment.next(now);
            if (next !== undefined) {
                moves.push(next);
            }
        }
        expect(moves).to.deep.equal(["near:1"]);
    });

    it("takes new seeds when all it knows is gone", () => {
        const attachment = create(["old:1"]);
        expect(attachment.next(0)).to.equal("old:1");
        attachment.lost("old:1", 100);
        attachment.setSeeds(["new:1"]);
        expect(attachment.next(400)).to.equal("new:1");
    });
});
