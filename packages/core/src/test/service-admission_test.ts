import { expect } from "chai";
import { AdmissionRefusal, createRandom, createServiceAdmission, createWorkEstimate } from "../index.js";
import type { AdmissionRequest, ServiceAdmission, ServiceRoom } from "../index.js";

const free: ServiceRoom = { slots: 24, slotsPerServer: 2, excess: -1 };
const full: ServiceRoom = { slots: 24, slotsPerServer: 2, excess: 40 };

interface NamedRequest extends AdmissionRequest {
    name: string;
}

const request = (name: string, differences: Partial<AdmissionRequest> = {}): NamedRequest => ({
    name,
    requestKey: name,
    route: "route",
    priority: 1,
    objectiveMs: 1000,
    arrivedAt: 0,
    deadlineAt: 5000,
    ...differences,
});

/** Creates admission on a host that has all the room; answers take 100 ms. */
const createShort = (): ServiceAdmission<NamedRequest> => {
    const work = createWorkEstimate();
    ["route", "long"].forEach(route => work.record(route, route === "long" ? 600 : 100, false));
    const admission = createServiceAdmission<NamedRequest>({ random: createRandom(1), work, hostCount: () => 24 });
    admission.next(full, 0);
    return admission;
};

/** Calls until nothing more is decided. */
const decide = (admission: ServiceAdmission<NamedRequest>, room: ServiceRoom, now: number): string[] => {
    const decisions: string[] = [];
    for (let decision = admission.next(room, now); decision !== undefined; decision = admission.next(room, now)) {
        decisions.push(decision.kind === "send" ? decision.req.name : `${decision.req.name}: ${decision.refusal}`);
    }
    return decisions;
};

// Guards against room that goes to what costs callers less when it is delayed.
describe("admission to a service that is short of room", () => {
    const cases: { name: string; requests: NamedRequest[]; room: ServiceRoom; now?: number; decisions: string[]; }[] = [
        {
            name: "sends the more urgent first, then the one with less slack",
            requests: [
                request("patient", { deadlineAt: 9000, objectiveMs: 4000 }),
                request("hasty", { objectiveMs: 600 }),
                request("urgent", { priority: 0, objectiveMs: 3000 }),
            ],
            room: free,
            decisions: ["urgent", "hasty", "patient"],
        },
        {
            name: "sends what can still be answered within its objective before what is late",
            requests: [request("late", { arrivedAt: -4000, deadlineAt: 1500 }), request("timely")],
            room: free,
            decisions: ["timely", "late"],
        },
        { name: "lets requests wait while servers are full", requests: [request("a")], room: full, decisions: [] },
        {
            name: "refuses at once what can't be answered before its deadline",
            requests: [request("a", { deadlineAt: 50 }), request("b")],
            room: full,
            decisions: [`a: ${AdmissionRefusal.Expired}`],
        },
        {
            name: "refuses what expires while it waits, before it reaches a server",
            requests: [request("a", { deadlineAt: 500 })],
            room: free,
            now: 500,
            decisions: [`a: ${AdmissionRefusal.Expired}`],
        },
        {
            name: "refuses what is left too little time, if no slot is free",
            requests: [request("a", { deadlineAt: 500 })],
            room: full,
            now: 450,
            decisions: [`a: ${AdmissionRefusal.Expired}`],
        },
        {
            name: "turns away what needs most work if not all can be served in time",
            requests: [
                request("long", { route: "long", deadlineAt: 700 }),
                ...Array.from({ length: 6 }, (_, index) => request(`short ${index}`, { deadlineAt: 300 })),
            ],
            room: full,
            decisions: [`long: ${AdmissionRefusal.NoRoomInTime}`],
        },
        {
            name: "turns away the less urgent even if they need less work",
            requests: [
                request("urgent long", { route: "long", priority: 0, deadlineAt: 4000 }),
                ...Array.from({ length: 3 }, (_, index) => request(`short ${index}`, { deadlineAt: 180 + index })),
            ],
            room: full,
            decisions: [
                ...[0, 1, 2].map(index => `short ${index}: ${AdmissionRefusal.NoRoomInTime}`),
            ],
        },
    ];
    for (const { name, requests, room, now = 0, decisions } of cases) {
        it(name, () => {
            const admission = createShort();
            requests.forEach(req => admission.arrive(req, 0));
            expect(decide(admission, room, now)).to.deep.equal(decisions);
        });
    }

    it("puts callers that repeat too early and often behind, as long as no slot is free", () => {
        const admission = createShort();
        const early: string[] = [];
        for (let now = 0; now < 50; now += 10) {
            admission.arrive(request("again", { arrivedAt: now, deadlineAt: now + 50 }), now);
            early.push(...decide(admission, full, now));
        }
        expect(early.slice(0, 3)).to.deep.equal(Array(3).fill(`again: ${AdmissionRefusal.Expired}`));
        expect(early.slice(3)).to.deep.equal(Array(2).fill(`again: ${AdmissionRefusal.RepeatedTooEarly}`));
        admission.arrive(request("again", { arrivedAt: 60 }), 60);
        expect(decide(admission, free, 60)).to.deep.equal(["again"]);
    });

    it("forgets a request whose caller has left", () => {
        const admission = createShort();
        const req = request("a");
        admission.arrive(req, 0);
        admission.remove(req);
        expect(decide(admission, free, 10)).to.deep.equal([]);
    });

    it("names later times to the less urgent that it refuses", () => {
        const admission = createShort();
        const delays = [1, 0].map(priority => {
            Array.from(
                { length: 20 },
                (_, index) => admission.arrive(request(`${priority} ${index}`, { priority, deadlineAt: 3000 }), 0),
            );
            admission.arrive(request(`refused ${priority}`, { priority, deadlineAt: 50 }), 0);
            const decision = admission.next(full, 0);
            return decision?.kind === "refuse" ? decision.retryAfterMs : NaN;
        });
        expect(delays[0]!).to.be.greaterThan(delays[1]! / 2);
        expect(Math.min(...delays)).to.be.at.least(50);
    });
});
