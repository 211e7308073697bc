/** What every program shares: settings, logs, tokens and the format of the tables files. */
export * from "./lib/entry-client.js";
export * from "./lib/event-log.js";
export * from "./lib/events.js";
export * from "./lib/nearest-name.js";
export * from "./lib/settings.js";
export * from "./lib/tables-file.js";
export * from "./lib/token-file.js";
