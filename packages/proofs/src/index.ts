/** Differential proofs: seeded simulations that check the guarantees of cassiapick against naive implementations. */
export * from "./lib/detection-faults.js";
export * from "./lib/detection-pool.js";
export * from "./lib/detection-times.js";
export * from "./lib/overload-fakes.js";
export * from "./lib/proof.js";
export * from "./lib/registry.js";
export * from "./lib/timeline.js";
