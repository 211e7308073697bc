/** Starting programs of the workspace, for the demo and for measurements (development only). */
export * from "./lib/child-process.js";
export * from "./lib/free-ports.js";
