/** Decisions of a gateway whose entry hosts serve published configurations. */
export * from "./entry-addresses.js";
export * from "./failure-estimate.js";
export * from "./fleet-messages.js";
export * from "./gateway-config.js";
export * from "./host-retry-budget.js";
export * from "./limit-shares.js";
export * from "./liveness-monitor.js";
export * from "./nearest-state-host.js";
export * from "./request-attempts.js";
export * from "./route-index.js";
export * from "./route-latency-tracker.js";
export * from "./selection-weights.js";
export * from "./server-limits.js";
export * from "./server-pool-types.js";
export * from "./server-pool.js";
export * from "./service-degradation-tracker.js";
export * from "./state-host-selector.js";
