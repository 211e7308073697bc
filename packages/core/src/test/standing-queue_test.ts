import { expect } from "chai";
import { createStandingQueueDetector } from "../lib/scheduling/standing-queue.js";

describe("standing queue detector", () => {
    const cases: { name: string; sizes: [now: number, size: number][]; isStanding: boolean; }[] = [
        { name: "a short burst", sizes: [[0, 3], [3000, 2]], isStanding: false },
        { name: "never empty for more than 4 s", sizes: [[0, 3], [4001, 2]], isStanding: true },
        { name: "two bursts with a gap", sizes: [[0, 3], [3000, 0], [3100, 2], [6000, 1]], isStanding: false },
        { name: "empty only briefly", sizes: [[0, 3], [4001, 0], [4100, 1], [4200, 1]], isStanding: true },
        { name: "empty for more than 200 ms", sizes: [[0, 3], [4001, 0], [4202, 1]], isStanding: false },
    ];
    for (const { name, sizes, isStanding } of cases) {
        it(`${isStanding ? "detects" : "does not detect"} a standing queue: ${name}`, () => {
            const queue = createStandingQueueDetector();
            for (const [now, size] of sizes) {
                queue.observe(size, now);
            }
            expect(queue.isStanding()).to.equal(isStanding);
        });
    }
});
