/** Runs keyed requests at most once across entry hosts, by write-once claims on replicas. */
export * from "./claim-contract.js";
export * from "./claim-message.js";
export { createClaimNode } from "./claim-node.js";
export type { ClaimHost, ClaimRoster } from "./roster.js";
