/** Decisions of entry hosts that serve published configurations. */
export * from "./attachment.js";
export * from "./caller-addresses.js";
export * from "./choice-weights.js";
export * from "./fleet-messages.js";
export * from "./gateway-config.js";
export * from "./keeper.js";
export * from "./latency-book.js";
export * from "./nearest-contact.js";
export * from "./request-plan.js";
export * from "./retry-allowance.js";
export * from "./route-index.js";
export * from "./server-belief.js";
export * from "./server-pool-contract.js";
export * from "./server-pool.js";
export * from "./service-trouble.js";
