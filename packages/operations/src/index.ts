/** Code that all programs share: settings, logs, metrics, tokens, tables files and the client for admin addresses. */
export * from "./lib/entry-client.js";
export { burnSchema } from "./lib/entry-status-schema.js";
export * from "./lib/event-log.js";
export * from "./lib/events.js";
export * from "./lib/hop-by-hop.js";
export * from "./lib/key-digest.js";
export * from "./lib/lateness-meter.js";
export * from "./lib/line-writer.js";
export * from "./lib/metrics.js";
export * from "./lib/nearest-name.js";
export * from "./lib/request-key.js";
export * from "./lib/setting-definition.js";
export * from "./lib/setting-schemas.js";
export * from "./lib/settings.js";
export * from "./lib/tables-file.js";
export * from "./lib/text-table.js";
export * from "./lib/token-file.js";
export * from "./lib/yaml-text.js";
