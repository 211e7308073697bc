/** Starts programs of the repository for the demo and for measurements (development only). */
export * from "./lib/child-process.js";
export * from "./lib/demo-fleet.js";
export { demoKinds } from "./lib/fleet-plan.js";
export * from "./lib/free-ports.js";
export { waitUntilReady } from "./lib/run-once.js";
