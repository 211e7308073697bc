/** Measurements of simulated fleets and of running processes. */
export * from "./lib/measurement.js";
export * from "./lib/registry.js";
