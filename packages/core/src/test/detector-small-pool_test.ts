import { expect } from "chai";
import { AttemptClass, createDetector, createRandom, DetectionMode, DetectorEventKind } from "../index.js";

/** Cases of a pool of two members, in which a member can be compared with only one peer. */
const cases = [
    {
        name: "fails and the other is used as much",
        mode: DetectionMode.Prompt,
        outcome: AttemptClass.ServerError,
        peerRequestEvery: 1,
        requests: 20,
        isSuspected: true,
    },
    {
        name: "fails and the other gets only retries",
        mode: DetectionMode.Prompt,
        outcome: AttemptClass.ServerError,
        peerRequestEvery: 3,
        requests: 30,
        isSuspected: true,
    },
    {
        name: "sends cut answers",
        mode: DetectionMode.Prompt,
        outcome: AttemptClass.Cut,
        peerRequestEvery: 2,
        requests: 20,
        isSuspected: true,
    },
    {
        name: "fails under a careful policy",
        mode: DetectionMode.Careful,
        outcome: AttemptClass.ServerError,
        peerRequestEvery: 2,
        requests: 60,
        isSuspected: true,
    },
    {
        name: "is healthy",
        mode: DetectionMode.Prompt,
        outcome: AttemptClass.Success,
        peerRequestEvery: 2,
        requests: 200,
        isSuspected: false,
    },
    {
        name: "sheds",
        mode: DetectionMode.Prompt,
        outcome: AttemptClass.Shed,
        peerRequestEvery: 2,
        requests: 200,
        isSuspected: false,
    },
];

const serviceMs = 7;

describe("createDetector with two members", () => {
    for (const { name, mode, outcome, peerRequestEvery, requests, isSuspected } of cases) {
        it(`${isSuspected ? "suspects" : "trusts"} a member that ${name}`, () => {
            const detector = createDetector({ mode, random: createRandom(1) });
            let now = 1000;
            const serve = (serverId: string, attemptId: string, outcomeOfAttempt: AttemptClass): void => {
                detector.step({ kind: DetectorEventKind.Started, attemptId, serverId, requestKind: "k" }, now);
                now += serviceMs;
                detector.step({ kind: DetectorEventKind.Finished, attemptId, outcome: outcomeOfAttempt }, now);
                detector.step({ kind: DetectorEventKind.Tick }, now);
            };
            for (const serverId of ["unhealthy", "healthy"]) {
                detector.step({ kind: DetectorEventKind.Joined, serverId, incarnation: 1 }, now);
            }
            for (let index = 0; index < requests; index += 1) {
                serve("unhealthy", `a${index}`, outcome);
                if (index % peerRequestEvery === 0) {
                    serve("healthy", `b${index}`, AttemptClass.Success);
                }
            }
            expect(detector.suspicions().map(suspicion => suspicion.serverId)).to.deep.equal(isSuspected ? ["unhealthy"] : []);
        });
    }
});
