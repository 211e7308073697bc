/** Checks a configuration before it is published. */
export * from "./config-changes.js";
export * from "./config-findings.js";
