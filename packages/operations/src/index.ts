/** What every program shares: settings, logs, tokens and the format of the tables files. */
export * from "./lib/entry-client.js";
export { burnSchema } from "./lib/entry-status-check.js";
export * from "./lib/event-log.js";
export * from "./lib/events.js";
export * from "./lib/hop-by-hop.js";
export * from "./lib/line-writer.js";
export * from "./lib/metrics.js";
export * from "./lib/nearest-name.js";
export * from "./lib/setting-definition.js";
export * from "./lib/setting-schemas.js";
export * from "./lib/settings.js";
export * from "./lib/tables-file.js";
export * from "./lib/text-table.js";
export * from "./lib/token-file.js";
export * from "./lib/yaml-places.js";
