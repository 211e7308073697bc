/** Starts state hosts as processes, for tests and measurements only. */
export * from "./lib/state-processes.js";
