import { expect } from "chai";
import { AttemptClass, createDetector, createRandom, DetectionMode, DetectorEventKind } from "../index.js";

/** A pool of two members: the other one is all there is to compare with. */
const cases = [
    {
        name: "fails and the other is used as much",
        mode: DetectionMode.Prompt,
        outcome: AttemptClass.ServerError,
        otherEvery: 1,
        requests: 20,
        ejected: true,
    },
    {
        name: "fails and the other gets only retries",
        mode: DetectionMode.Prompt,
        outcome: AttemptClass.ServerError,
        otherEvery: 3,
        requests: 30,
        ejected: true,
    },
    {
        name: "sends cut answers",
        mode: DetectionMode.Prompt,
        outcome: AttemptClass.Cut,
        otherEvery: 2,
        requests: 20,
        ejected: true,
    },
    {
        name: "fails under a careful policy",
        mode: DetectionMode.Careful,
        outcome: AttemptClass.ServerError,
        otherEvery: 2,
        requests: 60,
        ejected: true,
    },
    { name: "is well", mode: DetectionMode.Prompt, outcome: AttemptClass.Success, otherEvery: 2, requests: 200, ejected: false },
    { name: "sheds", mode: DetectionMode.Prompt, outcome: AttemptClass.Shed, otherEvery: 2, requests: 200, ejected: false },
];

const serviceMs = 7;

describe("createDetector with two members", () => {
    for (const { name, mode, outcome, otherEvery, requests, ejected } of cases) {
        it(`${ejected ? "suspects" : "trusts"} a member that ${name}`, () => {
            const detector = createDetector({ mode, random: createRandom(1) });
            let now = 1000;
            const serve = (serverId: string, attemptId: string, ends: AttemptClass): void => {
                detector.step({ kind: DetectorEventKind.Started, attemptId, serverId, requestKind: "k" }, now);
                now += serviceMs;
                detector.step({ kind: DetectorEventKind.Finished, attemptId, outcome: ends }, now);
                detector.step({ kind: DetectorEventKind.Tick }, now);
            };
            for (const serverId of ["ill", "well"]) {
                detector.step({ kind: DetectorEventKind.Joined, serverId, incarnation: 1 }, now);
            }
            for (let index = 0; index < requests; index += 1) {
                serve("ill", `a${index}`, outcome);
                if (index % otherEvery === 0) {
                    serve("well", `b${index}`, AttemptClass.Success);
                }
            }
            expect(detector.suspicions().map(suspicion => suspicion.serverId)).to.deep.equal(ejected ? ["ill"] : []);
        });
    }
});
