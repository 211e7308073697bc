import { expect } from "chai";
import { createRandom, createStateHostSelector } from "../index.js";
import type { StateHostSelector } from "../index.js";

const contacts = [
    { address: "local:1", availabilityZone: "a1", region: "a" },
    { address: "region:1", availabilityZone: "a2", region: "a" },
    { address: "remote:1", availabilityZone: "b1", region: "b" },
];

const create = (seeds: string[] = ["seed:1"]): StateHostSelector =>
    createStateHostSelector({ availabilityZone: "a1", region: "a", seeds, random: createRandom(1) });

describe("state host selector", () => {
    it("starts with a seed and stays while its view is recent", () => {
        const selector = create();
        expect(selector.nextAddress(0)).to.equal("seed:1");
        for (let now = 0; now < 5000; now += 400) {
            selector.viewConfirmed("seed:1", 100, now);
            expect(selector.nextAddress(now)).to.equal(undefined);
        }
        expect(selector.viewAgeMs(5000)).to.be.below(1200);
    });

    const reasonsToLeave: { name: string; receive: (selector: StateHostSelector, now: number) => void; }[] = [
        {
            name: "leaves a state host that no majority confirms",
            receive: (selector, now) => selector.viewConfirmed("local:1", Infinity, now),
        },
        {
            name: "leaves a state host whose view is old",
            receive: (selector, now) => selector.viewConfirmed("local:1", 1000 + now, now),
        },
        { name: "leaves a state host that sends nothing", receive: () => undefined },
    ];
    for (const { name, receive } of reasonsToLeave) {
        it(`${name}, well before changes must take effect`, () => {
            const selector = create([]);
            selector.setContacts(contacts);
            expect(selector.nextAddress(0)).to.equal("local:1");
            selector.viewConfirmed("local:1", 0, 0);
            let movedAt: number | undefined;
            for (let now = 100; now < 3000 && movedAt === undefined; now += 100) {
                receive(selector, now);
                const next = selector.nextAddress(now);
                if (next !== undefined) {
                    expect(next).to.equal("region:1");
                    movedAt = now;
                }
            }
            expect(movedAt).to.be.at.most(1500);
        });
    }

    it("times out soon on a state host that never had a view, as after the loss of its disk", () => {
        const selector = create([]);
        selector.setContacts(contacts);
        selector.nextAddress(0);
        selector.viewConfirmed("local:1", Infinity, 100);
        let movedAt = Infinity;
        for (let now = 100; now < 2000 && movedAt === Infinity; now += 50) {
            movedAt = selector.nextAddress(now) === undefined ? Infinity : now;
        }
        expect(movedAt).to.be.at.most(400);
    });

    // An update with 350 new routes took longer than the view timeout, so entry hosts moved on and started it again elsewhere.
    it("stays while a long update arrives, and leaves soon after it has stalled", () => {
        const selector = create([]);
        selector.setContacts(contacts);
        selector.nextAddress(0);
        selector.viewConfirmed("local:1", 0, 0);
        for (let now = 50; now < 4000; now += 50) {
            selector.partReceived("local:1", now);
            expect(selector.nextAddress(now)).to.equal(undefined);
        }
        expect(selector.nextAddress(4400)).to.equal(undefined);
        expect(selector.nextAddress(4600)).to.equal("region:1");
    });

    // Reports of other hosts that arrive in parts would otherwise hold an entry host on a state host without a majority.
    it("does not stay for parts of messages from a state host that reports an old view", () => {
        const selector = create([]);
        selector.setContacts(contacts);
        selector.nextAddress(0);
        selector.viewConfirmed("local:1", 0, 0);
        selector.viewConfirmed("local:1", 0, 10);
        let askedAt = Infinity;
        for (let now = 50; now < 4000 && askedAt === Infinity; now += 50) {
            selector.partReceived("local:1", now);
            selector.viewConfirmed("local:1", now, now);
            askedAt = selector.nextAddress(now) === undefined ? Infinity : now;
        }
        expect(askedAt).to.be.at.most(1300);
    });

    it("keeps its state host and its view while a nearer one is out of date", () => {
        const selector = create();
        selector.nextAddress(0);
        selector.viewConfirmed("seed:1", 50, 50);
        selector.setContacts([...contacts, { address: "seed:1", availabilityZone: "b1", region: "b" }]);
        for (let now = 100; now < 20_000; now += 100) {
            selector.viewConfirmed("seed:1", 50, now);
            const next = selector.nextAddress(now);
            if (next !== undefined) {
                selector.viewConfirmed(next, Infinity, now);
            }
            expect(selector.currentAddress()).to.equal("seed:1");
            expect(selector.viewAgeMs(now)).to.be.at.most(50);
        }
    });

    it("tries the next state host soon after a connection failure, and avoids those that failed", () => {
        const selector = create([]);
        selector.setContacts(contacts);
        const attempts: (string | undefined)[] = [];
        for (let now = 0; now < 1000; now += 150) {
            const next = selector.nextAddress(now);
            attempts.push(next);
            selector.connectionLost(next ?? "", now);
        }
        expect(attempts.slice(0, 3)).to.deep.equal(["local:1", "region:1", "remote:1"]);
    });

    it("moves to the nearest state host once locations are known, and then stays", () => {
        const selector = create();
        selector.nextAddress(0);
        selector.viewConfirmed("seed:1", 50, 50);
        selector.setContacts([...contacts, { address: "seed:1", availabilityZone: "b1", region: "b" }]);
        const moves: string[] = [];
        for (let now = 100; now < 8000; now += 100) {
            selector.viewConfirmed(selector.currentAddress() ?? "", 50, now);
            const next = selector.nextAddress(now);
            if (next !== undefined) {
                moves.push(next);
                selector.viewConfirmed(next, 50, now);
            }
        }
        expect(moves).to.deep.equal(["local:1"]);
        expect(selector.currentAddress()).to.equal("local:1");
    });

    // Hosts of other zones are sent updates over links that are billed.
    it("moves to its own zone at once, also soon after a move to a nearer state host, but not back and forth", () => {
        const selector = create();
        selector.nextAddress(0);
        selector.viewConfirmed("seed:1", 50, 50);
        const listed = [...contacts, { address: "seed:1", availabilityZone: "b1", region: "b" }];
        const moves: [at: number, to: string][] = [];
        const lostAt = 700;
        for (let now = 100; now < 3000; now += 100) {
            selector.setContacts(listed.filter(({ address }) => address !== "local:1" || now >= 400));
            if (now === lostAt) {
                selector.connectionLost("local:1", now);
            }
            selector.viewConfirmed(selector.currentAddress() ?? "", 50, now);
            const next = selector.nextAddress(now);
            if (next !== undefined) {
                moves.push([now, next]);
                selector.viewConfirmed(next, 50, now);
            }
        }
        expect(moves.slice(0, 2)).to.deep.equal([[200, "region:1"], [400, "local:1"]]);
        const returns = moves.filter(([at, to]) => at > lostAt && to === "local:1");
        expect(returns.map(([at]) => at)).to.deep.equal([2200]);
    });

    it("uses new seeds when all known state hosts are unreachable", () => {
        const selector = create(["old:1"]);
        expect(selector.nextAddress(0)).to.equal("old:1");
        selector.connectionLost("old:1", 100);
        selector.setSeeds(["new:1"]);
        expect(selector.nextAddress(400)).to.equal("new:1");
    });
});
