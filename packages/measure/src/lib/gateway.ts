/** Compares strategies for selecting backend servers that fail part of their requests, at the load of the users' sites. */
import { defaultSelectionWeights } from "@cassiapick/core";
import { simulateSite } from "./gateway-fleet.js";
import type { SelectionStrategy, SimulationResult } from "./gateway-fleet.js";
import { simulatedSites } from "./gateway-sites.js";
import type { Measurement } from "./measurement.js";

const strategies: SelectionStrategy[] = [
    { name: "random", sharesEvidence: false, isRandom: true },
    { name: "own evidence only", sharesEvidence: false },
    { name: "shared, no waits", sharesEvidence: true, ignoresWaits: true },
    { name: "shared evidence", sharesEvidence: true },
    { name: "shared, least loaded", sharesEvidence: true, weights: { ...defaultSelectionWeights, utilization: 0.3, jitter: 0 } },
];
const seedCount = 3;

interface GatewayRow {
    site: string;
    load: number;
    way: string;
    /** Counts divided by the number of requests; `worstClass` is the served fraction of the request class that is served worst. */
    served: number;
    inObjective: number;
    worstClass: number;
    inRegion: number;
    elsewhere: number;
    repeats: number;
}

const mean = (results: readonly SimulationResult[], value: (result: SimulationResult) => number): number =>
    results.reduce((sum, result) => sum + value(result), 0) / results.length;

/** Runs and prints the comparison. */
export const measureGateway: Measurement = ({ seed, json }) => {
    const rows: GatewayRow[] = [];
    for (const [siteName, site] of Object.entries(simulatedSites)) {
        for (const load of [0.7, 1, 1.7]) {
            for (const strategy of strategies) {
                const results = Array.from({ length: seedCount }, (_, index) => simulateSite(site, strategy, seed + index, load));
                rows.push({
                    site: siteName,
                    load,
                    way: strategy.name,
                    served: mean(results, result => result.served / result.requestCount),
                    inObjective: mean(results, result => result.inObjective / result.requestCount),
                    worstClass: mean(results, result => result.lowestServedFraction),
                    inRegion: mean(results, result => result.inOtherZone / result.requestCount),
                    elsewhere: mean(results, result => result.inOtherRegion / result.requestCount),
                    repeats: mean(results, result => result.retryCount / result.requestCount),
                });
            }
        }
    }
    if (json) {
        console.log(JSON.stringify(rows));
        return Promise.resolve();
    }
    console.log("site             load  way                 served  in objective  worst class  in region  elsewhere  repeats");
    for (const row of rows) {
        const fractions = [row.served, row.inObjective, row.worstClass, row.inRegion, row.elsewhere, row.repeats];
        console.log(
            `${row.site.padEnd(17)}${row.load.toFixed(1).padEnd(6)}${row.way.padEnd(20)}${
                fractions.map(fraction => fraction.toFixed(4).padEnd(10)).join(" ")
            }`,
        );
    }
    return Promise.resolve();
};
