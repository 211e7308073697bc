import { expect } from "chai";
import {
    createCallerAges,
    createRandom,
    createReturnTimes,
    createServerPlaces,
    createServiceFloors,
    createWorkEstimate,
} from "../index.js";
import type { ServerPlaces } from "../index.js";

const input = { workMs: 100, bearableMs: 400, slotsPerServer: 2 };
const repeat = (count: number, call: () => void): void => Array.from({ length: count }).forEach(() => call());

// Guards against servers' queues that fill up with what is less urgent, or that run empty.
describe("the places of servers", () => {
    const cases: { name: string; events: (places: ServerPlaces) => void; check: (urgent: number, less: number) => boolean; }[] = [
        {
            name: "are not bounded while room is not short",
            events: () => undefined,
            check: (urgent, less) => urgent === Infinity && less === Infinity,
        },
        {
            name: "leave the urgent more than the less urgent",
            events: places => places.recordDecline(0),
            check: (urgent, less) => urgent >= less + 1 && less >= 0,
        },
        {
            name: "shrink for the less urgent to none when waits are long",
            events: places => repeat(60, () => places.recordWait(500, 400, 0)),
            check: (urgent, less) => urgent >= 1 && less === 0,
        },
        {
            name: "shrink to one for the urgent when servers decline",
            events: places => repeat(30, () => places.recordDecline(0)),
            check: urgent => urgent === 1,
        },
        {
            name: "grow again with short waits",
            events: places => {
                repeat(30, () => places.recordDecline(0));
                repeat(200, () => places.recordWait(0, 400, 0));
            },
            check: (urgent, less) => urgent > 4 && less > 2,
        },
        {
            name: "are not bounded any more once slots were free for a while",
            events: places => {
                places.recordDecline(0);
                places.recordRoom(-1, 100);
                places.recordRoom(-1, 1200);
            },
            check: urgent => urgent === Infinity,
        },
        {
            name: "stay bounded if a slot is free for a moment only",
            events: places => {
                places.recordDecline(0);
                places.recordRoom(-1, 100);
                places.recordRoom(0, 600);
                places.recordRoom(-1, 1200);
            },
            check: urgent => Number.isFinite(urgent),
        },
    ];
    for (const { name, events, check } of cases) {
        it(name, () => {
            const places = createServerPlaces();
            events(places);
            const [urgent, less] = [0, 1].map(rank => places.places({ ...input, rank }));
            expect(check(urgent!, less!), `${urgent}, ${less}`).to.equal(true);
        });
    }
});

describe("the floors of a service", () => {
    const cases = [
        { name: "raise a group that is served less than a quarter as often as all", sends: 1, isBelow: true },
        { name: "leave a group alone that is served half as often", sends: 6, isBelow: false },
    ];
    for (const { name, sends, isBelow } of cases) {
        it(name, () => {
            const floors = createServiceFloors();
            repeat(12, () => floors.recordArrival("few", 0));
            repeat(sends, () => floors.recordSend("few", 0));
            repeat(100, () => floors.recordArrival("many", 0));
            repeat(100, () => floors.recordSend("many", 0));
            expect(floors.isBelow("few", 0)).to.equal(isBelow);
        });
    }
});

describe("the age of a caller", () => {
    const cases = [
        { name: "follows from the time that it has left if all start with the same", usual: [8000], ageMs: 5000 },
        { name: "is not guessed if callers have different deadlines", usual: [8000, 3000, 5000, 1000], ageMs: 0 },
    ];
    for (const { name, usual, ageMs } of cases) {
        it(name, () => {
            const ages = createCallerAges();
            Array.from({ length: 60 }, (_, index) => ages.record("route", usual[index % usual.length]!));
            expect(ages.ageMs("route", 3000)).to.equal(ageMs);
            expect(ages.ageMs("route", usual[0]!)).to.equal(0);
        });
    }
});

describe("the return of refused callers", () => {
    it("is spread over the backlog, one after the other", () => {
        const times = createReturnTimes(createRandom(3));
        const delays = Array.from({ length: 20 }, () => times.next({ priority: 1, backlogMs: 400, serviceMs: 100 }, 0));
        const inFirstHalf = delays.filter(delay => delay < 1450).length;
        expect(Math.min(...delays)).to.be.at.least(300);
        expect(inFirstHalf).to.be.within(6, 14);
    });

    it("is earlier for the urgent, whoever was refused first", () => {
        const times = createReturnTimes(createRandom(3));
        const later = Array.from({ length: 10 }, () => times.next({ priority: 1, backlogMs: 800, serviceMs: 100 }, 0));
        const urgent = times.next({ priority: 0, backlogMs: 100, serviceMs: 100 }, 0);
        expect(urgent).to.be.lessThan(Math.min(...later));
    });
});

describe("the expected work of a route", () => {
    it("leaves out the time that answers waited at full servers", () => {
        const work = createWorkEstimate();
        repeat(20, () => work.record("route", 100, false));
        repeat(20, () => work.record("route", 700, true));
        expect(work.workMs("route", 5000)).to.be.closeTo(100, 1);
        expect(work.answerMs("route", 5000)).to.be.greaterThan(300);
    });
});
