/** Requests that end the servers which run them: evidence, suspicion and quarantine. */
export * from "./request-evidence.js";
export * from "./request-quarantine.js";
