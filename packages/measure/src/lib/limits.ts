/** Shows how many requests are served while every server of a service names a limit. */
import { simulateSite } from "./gateway-fleet.js";
import type { SimulationResult } from "./gateway-fleet.js";
import { simulatedSites } from "./gateway-sites.js";
import type { Measurement } from "./measurement.js";

const limitedService = "refunds";
/** Limits of each server, in requests a second; the service's twelve servers get 3.9 requests a second each without limits. */
const limitsPerS = [undefined, 8, 5, 3, 1.7];
const seedCount = 6;

const mean = (results: readonly SimulationResult[], value: (result: SimulationResult) => number): number =>
    results.reduce((sum, result) => sum + value(result), 0) / results.length;

/** Runs and prints the comparison. */
export const measureLimits: Measurement = ({ seed, json }) => {
    const rows = limitsPerS.map(limitPerS => {
        const results = Array.from({ length: seedCount }, (_, index) =>
            simulateSite(simulatedSites.ticketing!, {
                name: "shared evidence",
                sharesEvidence: true,
                limitOf: record => record.service === limitedService ? limitPerS : undefined,
            }, seed + index));
        return {
            limitPerS,
            served: mean(results, result => result.served / result.requestCount),
            worstClass: mean(results, result => result.lowestServedFraction),
            inObjective: mean(results, result => result.inObjective / result.requestCount),
            refusals: mean(results, result => result.refusals / result.requestCount),
        };
    });
    if (json) {
        console.log(JSON.stringify(rows));
        return Promise.resolve();
    }
    console.log("limit/s  served  worst class  in objective  refusals a request");
    for (const { limitPerS, served, worstClass, inObjective, refusals } of rows) {
        const fractions = [served, worstClass, inObjective, refusals].map(fraction => fraction.toFixed(3).padEnd(12));
        console.log(`${String(limitPerS ?? "none").padEnd(8)} ${fractions.join("")}`);
    }
    return Promise.resolve();
};
