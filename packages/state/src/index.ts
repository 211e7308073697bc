/** The state host, for its own program and for measurements and proofs. */
export * from "./lib/data-folder.js";
export * from "./lib/disk.js";
export * from "./lib/state-driver.js";
export * from "./lib/state-host.js";
