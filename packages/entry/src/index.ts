/** Public API of the entry host, for programs that run one in their own process. */
export { announcePath } from "./lib/admin-server.js";
export { createAttemptRunner } from "./lib/attempt-runner.js";
export type { PendingCaller } from "./lib/caller-answer-writer.js";
export { addressesPath } from "./lib/caller-server.js";
export * from "./lib/entry-settings.js";
export * from "./lib/exchange.js";
export * from "./lib/headers.js";
export { createHttpDispatchers } from "./lib/http-dispatchers.js";
export * from "./lib/start-entry.js";
