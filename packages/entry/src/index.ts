/** The entry host, for programs that start one within their own process. */
export { announcePath } from "./lib/admin-server.js";
export { addressesPath } from "./lib/caller-server.js";
export * from "./lib/entry-settings.js";
export * from "./lib/exchange.js";
export * from "./lib/headers.js";
export * from "./lib/start-entry.js";
