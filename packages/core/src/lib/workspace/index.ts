/** Workspaces of the operator's customers: who a key belongs to, whether a request may be served, and quotas over all hosts. */
export * from "./access-decision.js";
export * from "./quota-bound.js";
export * from "./quota-division.js";
export * from "./quota-keeper.js";
export * from "./quota-messages.js";
export * from "./quota-stock.js";
export * from "./suspension-clock.js";
export * from "./workspace-delta.js";
export * from "./workspace-index.js";
