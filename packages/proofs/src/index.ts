/** Differential proofs of the promises against the naive versions. */
export * from "./lib/proof.js";
export * from "./lib/registry.js";
