/** Compares ways of choosing backend servers that fail part of their requests, at the sites' loads. */
import { defaultSelectionWeights } from "@cassiapick/core";
import { runModelFleet } from "./gateway-fleet.js";
import type { ModelResult, ModelWay } from "./gateway-fleet.js";
import { modelSites } from "./gateway-sites.js";
import type { Measurement } from "./measurement.js";

const ways: ModelWay[] = [
    { name: "random", shares: false, random: true },
    { name: "own evidence only", shares: false },
    { name: "shared evidence", shares: true },
    { name: "shared, least loaded", shares: true, weights: { ...defaultSelectionWeights, utilization: 0.3, jitter: 0 } },
];
const seeds = 3;

interface Row {
    site: string;
    load: number;
    way: string;
    /** Shares of the requests. */
    served: number;
    inObjective: number;
    worstClass: number;
    inRegion: number;
    elsewhere: number;
    repeats: number;
}

const mean = (results: readonly ModelResult[], value: (result: ModelResult) => number): number =>
    results.reduce((sum, result) => sum + value(result), 0) / results.length;

/** Runs the comparison and prints it. */
export const measureGateway: Measurement = ({ seed, json }) => {
    const rows: Row[] = [];
    for (const [site, model] of Object.entries(modelSites)) {
        for (const load of [0.7, 1, 1.7]) {
            for (const way of ways) {
                const results = Array.from({ length: seeds }, (_, index) => runModelFleet(model, way, seed + index, load));
                rows.push({
                    site,
                    load,
                    way: way.name,
                    served: mean(results, result => result.served / result.asked),
                    inObjective: mean(results, result => result.inObjective / result.asked),
                    worstClass: mean(results, result => result.worstClass),
                    inRegion: mean(results, result => result.inRegion / result.asked),
                    elsewhere: mean(results, result => result.elsewhere / result.asked),
                    repeats: mean(results, result => result.repeats / result.asked),
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
        const shares = [row.served, row.inObjective, row.worstClass, row.inRegion, row.elsewhere, row.repeats];
        console.log(
            `${row.site.padEnd(17)}${row.load.toFixed(1).padEnd(6)}${row.way.padEnd(20)}${
                shares.map(share => share.toFixed(4).padEnd(10)).join(" ")
            }`,
        );
    }
    return Promise.resolve();
};
