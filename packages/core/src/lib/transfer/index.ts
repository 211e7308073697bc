/** Large answers: the memory that they may take, and their turns on a host's link. */
export * from "./byte-budget.js";
export * from "./link-schedule.js";
export * from "./piece-budget.js";
