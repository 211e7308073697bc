import { expect } from "chai";
import { createStandingQueue } from "../lib/scheduling/standing-queue.js";

describe("standing queue", () => {
    const cases: { name: string; sizes: [now: number, size: number][]; stands: boolean; }[] = [
        { name: "a short burst", sizes: [[0, 3], [3000, 2]], stands: false },
        { name: "never empty for more than 4 s", sizes: [[0, 3], [4001, 2]], stands: true },
        { name: "two bursts with a gap", sizes: [[0, 3], [3000, 0], [3100, 2], [6000, 1]], stands: false },
        { name: "empty for a moment only", sizes: [[0, 3], [4001, 0], [4100, 1], [4200, 1]], stands: true },
        { name: "empty for more than 200 ms", sizes: [[0, 3], [4001, 0], [4202, 1]], stands: false },
    ];
    for (const { name, sizes, stands } of cases) {
        it(`${stands ? "stands" : "does not stand"}: ${name}`, () => {
            const queue = createStandingQueue();
            for (const [now, size] of sizes) {
                queue.observe(size, now);
            }
            expect(queue.stands()).to.equal(stands);
        });
    }
});
