/** Differential proofs of the promises against the naive versions. */
export * from "./lib/overload-fakes.js";
export * from "./lib/overload-timeline.js";
export * from "./lib/proof.js";
export * from "./lib/registry.js";
