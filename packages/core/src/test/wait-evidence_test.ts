import { expect } from "chai";
import { createRouteLatencyTracker, hangEvidence, waitEvidence } from "../index.js";
import type { RouteLatencyTracker } from "../index.js";
import { createMemberWaits } from "../lib/gateway/member-waits.js";

const objectiveMs = 2500;

/** A tracker whose route has answered after these times. */
const trackerWith = (timesMs: readonly number[]): RouteLatencyTracker => {
    const tracker = createRouteLatencyTracker();
    timesMs.forEach(elapsedMs => tracker.record("route", elapsedMs));
    return tracker;
};

/** Answer times around the median of 460 ms, as a repeating pattern. */
const usualTimes = (count: number, factor = 1): number[] =>
    Array.from({ length: count }, (_, index) => factor * [330, 400, 430, 460, 490, 540, 640][index % 7]!);

// Guards against hanging servers that are found only seconds later, and against blame for answers that are merely slow.
describe("evidence of a wait", () => {
    const hangCases = [
        { name: "of a route with many answers", times: usualTimes(70), from: 600, until: 1100 },
        { name: "of a route with four answers", times: usualTimes(4), from: 600, until: 1800 },
        { name: "of a slow route", times: usualTimes(70, 4), from: 2400, until: 4400 },
        { name: "of a route without answers", times: [], from: 1000, until: 2500 },
    ];
    for (const { name, times, from, until } of hangCases) {
        it(`makes a wait ${name} a hang between ${from} and ${until} ms`, () => {
            const tracker = trackerWith(times);
            const evidenceAt = (elapsedMs: number): number =>
                waitEvidence(elapsedMs, elapsed => tracker.survival("route", objectiveMs, elapsed));
            expect(evidenceAt(from)).to.be.below(hangEvidence);
            expect(evidenceAt(until)).to.be.at.least(hangEvidence);
        });
    }

    it("is none at first, and grows with the wait", () => {
        const tracker = trackerWith(usualTimes(70));
        const evidence = [10, 300, 460, 600, 800, 1000]
            .map(elapsedMs => waitEvidence(elapsedMs, elapsed => tracker.survival("route", objectiveMs, elapsed)));
        expect(evidence[0]).to.be.closeTo(0, 0.05);
        expect(evidence).to.deep.equal([...evidence].sort((left, right) => left - right));
    });

    it("follows a route whose answers become slower", () => {
        const tracker = trackerWith([...usualTimes(70), ...usualTimes(70, 3)]);
        expect(tracker.survival("route", objectiveMs, 1000)).to.be.above(0.5);
    });

    const hedgeCases = [
        { name: "after most answers of a known route", times: usualTimes(70), from: 600, until: 900 },
        {
            name: "in time for another answer within the objective on a slow route",
            times: usualTimes(70, 4),
            from: 1250,
            until: 1250,
        },
        { name: "in time for another answer within the objective on an unknown route", times: [], from: 900, until: 1250 },
    ];
    for (const { name, times, from, until } of hedgeCases) {
        it(`sends a hedge ${name}`, () => {
            expect(trackerWith(times).hedgeAfterMs("route", objectiveMs)).to.be.within(from, until);
        });
    }
});

describe("requests that wait at one server", () => {
    /** Half of the answers take longer than 500 ms, and one in twenty longer than a second. */
    const survival = (elapsedMs: number): number => elapsedMs < 500 ? 1 : elapsedMs < 1000 ? 0.5 : 0.05;

    it("add up, at this host and at others", () => {
        const waits = createMemberWaits();
        waits.started(0, survival);
        const one = waits.evidence(600);
        waits.started(10, survival);
        expect(waits.evidence(600)).to.be.closeTo(2 * one, 1e-9);
        waits.setHostLevel("h", 2);
        const withOther = waits.evidence(600);
        expect(withOther).to.be.above(2 * one);
        waits.setHostLevel("h", 0);
        expect(waits.evidence(600)).to.be.closeTo(2 * one, 1e-9);
    });

    it("are taken back when the answer comes", () => {
        const waits = createMemberWaits();
        waits.started(0, survival);
        expect(waits.evidence(600)).to.be.above(0);
        expect(waits.ended(0)).to.equal(false);
        expect(waits.evidence(600)).to.equal(0);
    });

    it("become hangs once", () => {
        const waits = createMemberWaits();
        waits.started(0, elapsedMs => elapsedMs < 1000 ? 1 : 0.01);
        expect([waits.takeHangs(900), waits.takeHangs(1000), waits.takeHangs(1100)]).to.deep.equal([0, 1, 0]);
        expect(waits.evidence(1100)).to.equal(0);
        expect(waits.ended(0)).to.equal(true);
    });

    it("show no more together than two hangs, as load makes all of them late", () => {
        const waits = createMemberWaits();
        for (let index = 0; index < 50; index += 1) {
            waits.started(index, survival);
        }
        expect(waits.evidence(600)).to.equal(2 * hangEvidence);
    });
});
