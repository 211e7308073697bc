/** The entry host, for programs that start one within their own process. */
export { announcePath } from "./lib/admin-server.js";
export { createAttemptRunner } from "./lib/attempt-runner.js";
export { createBackendClients } from "./lib/backend-clients.js";
export { addressesPath } from "./lib/caller-server.js";
export * from "./lib/entry-settings.js";
export * from "./lib/exchange.js";
export * from "./lib/headers.js";
export type { OpenCaller } from "./lib/open-caller.js";
export * from "./lib/start-entry.js";
