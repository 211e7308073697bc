/** Naive implementations of the decision logic, for differential tests (development only). */
export * from "./lib/naive-claims.js";
export * from "./lib/naive-client.js";
export * from "./lib/naive-detector.js";
export * from "./lib/naive-directory.js";
export * from "./lib/naive-folder.js";
export * from "./lib/naive-membership.js";
export * from "./lib/naive-retry.js";
export * from "./lib/naive-scheduler.js";
export * from "./lib/naive-state.js";
export * from "./lib/naive-view.js";
