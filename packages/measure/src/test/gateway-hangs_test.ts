import { expect } from "chai";
import { simulateSite } from "../lib/gateway-fleet.js";
import type { SelectionStrategy } from "../lib/gateway-fleet.js";
import { simulatedSites } from "../lib/gateway-sites.js";

const seeds = [1, 2, 3, 4, 5, 6];
const evidence: SelectionStrategy = { name: "", sharesEvidence: true };
/** A hanging server is found at the deadline of its requests. */
const naive: SelectionStrategy = { ...evidence, ignoresWaits: true };

/** Fraction of the requests that were not served, over all seeds. */
const failedFraction = (siteName: string, strategy: SelectionStrategy, load: number): number => {
    const results = seeds.map(seed => simulateSite(simulatedSites[siteName]!, strategy, seed, load));
    const requests = results.reduce((sum, { requestCount }) => sum + requestCount, 0);
    return 1 - results.reduce((sum, { served }) => sum + served, 0) / requests;
};

/** `most` bounds the failures as a fraction of those of the naive version. */
const cases = [
    { site: "buylist", load: 0.7, most: 0.75 },
    { site: "buylist", load: 1.7, most: 0.75 },
    { site: "buylist-mixed", load: 1, most: 1 },
    { site: "buylist-reset", load: 1, most: 1.1 },
];

// Guards against servers that hang in spells while their health checks pass, and get request after request meanwhile.
describe("a fleet before servers that hang in spells", function () {
    this.timeout(120_000);
    for (const { site, load, most } of cases) {
        it(`fails at most ${most} times the requests of a fleet that waits for deadlines (${site}, load ${load})`, () => {
            const naiveFraction = failedFraction(site, naive, load);
            const fraction = failedFraction(site, evidence, load);
            expect(fraction, `naive: ${naiveFraction.toFixed(4)}`).to.be.at.most(most * naiveFraction);
        });
    }
});
