/** Stand-ins for the systems around the fleet (development only). */
export * from "./lib/announcer.js";
export * from "./lib/backend-stand-in.js";
export * from "./lib/caller-stand-in.js";
export * from "./lib/fault.js";
