/** Decides which requests are sent, wait or are refused while room at the servers is short. */
export * from "./admission-request.js";
export * from "./caller-ages.js";
export * from "./repeat-guard.js";
export * from "./return-times.js";
export * from "./server-places.js";
export * from "./service-admission.js";
export * from "./service-floors.js";
export * from "./waiting-order.js";
export * from "./work-estimate.js";
