/** Starts real state hosts, for tests and measurements only. */
export * from "./lib/launch.js";
