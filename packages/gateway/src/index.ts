/** The entry host of a fleet that serves published configurations. */
export * from "./lib/entry-gateway-contract.js";
export * from "./lib/entry-gateway.js";
export * from "./lib/gateway-metrics.js";
export type { HeaderNames } from "./lib/headers.js";
export type { Connect } from "./lib/http-call.js";
