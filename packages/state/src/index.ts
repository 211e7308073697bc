/** The parts of a state host as a library, for programs that run one, measurements and proofs. */
export * from "./lib/data-folder.js";
export * from "./lib/disk.js";
export * from "./lib/state-driver.js";
export * from "./lib/state-host.js";
