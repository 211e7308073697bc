import { expect } from "chai";
import { AttemptClass, createDetector, createRandom, DetectionMode, DetectorEventKind } from "../index.js";

/**
 * Cases of a pool of two members, in which the tested one can be compared with only one peer. The peer gets one request per
 * `peerRequestEvery` requests to the tested member.
 */
const cases = [
    {
        name: "fails while its peer gets as many requests",
        mode: DetectionMode.Prompt,
        attemptClass: AttemptClass.ServerError,
        peerRequestEvery: 1,
        requests: 20,
        isSuspected: true,
    },
    {
        name: "fails while its peer gets a third as many requests",
        mode: DetectionMode.Prompt,
        attemptClass: AttemptClass.ServerError,
        peerRequestEvery: 3,
        requests: 30,
        isSuspected: true,
    },
    {
        name: "sends cut answers",
        mode: DetectionMode.Prompt,
        attemptClass: AttemptClass.Cut,
        peerRequestEvery: 2,
        requests: 20,
        isSuspected: true,
    },
    {
        name: "fails, in the careful detection mode",
        mode: DetectionMode.Careful,
        attemptClass: AttemptClass.ServerError,
        peerRequestEvery: 2,
        requests: 60,
        isSuspected: true,
    },
    {
        name: "is healthy",
        mode: DetectionMode.Prompt,
        attemptClass: AttemptClass.Success,
        peerRequestEvery: 2,
        requests: 200,
        isSuspected: false,
    },
    {
        name: "sheds",
        mode: DetectionMode.Prompt,
        attemptClass: AttemptClass.Shed,
        peerRequestEvery: 2,
        requests: 200,
        isSuspected: false,
    },
];

const serviceMs = 7;

describe("createDetector with two members", () => {
    for (const { name, mode, attemptClass, peerRequestEvery, requests, isSuspected } of cases) {
        it(`${isSuspected ? "suspects" : "does not suspect"} a member that ${name}`, () => {
            const detector = createDetector({ mode, random: createRandom(1) });
            let now = 1000;
            const serve = (serverId: string, attemptId: string, endClass: AttemptClass): void => {
                detector.step({ kind: DetectorEventKind.Started, attemptId, serverId, requestKind: "k" }, now);
                now += serviceMs;
                detector.step({ kind: DetectorEventKind.Finished, attemptId, outcome: endClass }, now);
                detector.step({ kind: DetectorEventKind.Tick }, now);
            };
            for (const serverId of ["tested", "peer"]) {
                detector.step({ kind: DetectorEventKind.Joined, serverId, incarnation: 1 }, now);
            }
            for (let index = 0; index < requests; index += 1) {
                serve("tested", `a${index}`, attemptClass);
                if (index % peerRequestEvery === 0) {
                    serve("peer", `b${index}`, AttemptClass.Success);
                }
            }
            expect(detector.suspicions().map(suspicion => suspicion.serverId)).to.deep.equal(isSuspected ? ["tested"] : []);
        });
    }
});
