/** The state host of a fleet that serves published configurations. */
export * from "./lib/control-contract.js";
export * from "./lib/control-host.js";
export * from "./lib/open-storage.js";
