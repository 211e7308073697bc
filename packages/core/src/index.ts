/** Decisions of cassiapick as pure state machines: no socket, no clock and no random source of their own. */
export * from "./lib/backend-server.js";
export * from "./lib/claims/index.js";
export * from "./lib/detector.js";
export * from "./lib/effective-view.js";
export * from "./lib/outcome.js";
export * from "./lib/random.js";
export * from "./lib/retry.js";
export * from "./lib/scheduler.js";
export * from "./lib/state-messages.js";
export * from "./lib/tables.js";
