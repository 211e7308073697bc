/** Workspaces of the operator's customers: who a key belongs to, and whether a request may be served. */
export * from "./access-decision.js";
export * from "./workspace-delta.js";
export * from "./workspace-index.js";
