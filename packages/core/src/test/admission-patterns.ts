/** The load patterns that admission is tested under. */
import { Repeatability } from "../index.js";
import type { LoadPattern, RequestClass } from "./admission-load.js";

const urgent: RequestClass = {
    name: "urgent",
    priority: 0,
    share: 1 / 3,
    objectiveMs: 1000,
    deadlineMs: 3000,
    workMs: 100,
    worth: 2,
    lateWorth: 0.6,
    repeatability: Repeatability.AtMostOnce,
};
const lessUrgent: RequestClass = {
    name: "less urgent",
    priority: 2,
    share: 2 / 3,
    objectiveMs: 2000,
    deadlineMs: 8000,
    workMs: 100,
    worth: 1,
    lateWorth: 0.3,
    repeatability: Repeatability.Repeatable,
};
const classes = [urgent, lessUrgent];
const usual = 0.5;

/** The usual load, a burst, and the usual load until all deadlines have passed. */
const burst = (ratio: number, forMs: number): LoadPattern["phases"] => [
    { untilMs: 3000, ratio: usual },
    { untilMs: 3000 + forMs, ratio },
    { untilMs: 11_000 + forMs, ratio: usual },
];

export const patterns: LoadPattern[] = [
    { name: "1.2 times the room for 14 s", classes, phases: burst(1.2, 14_000) },
    { name: "1.7 times the room for 14 s", classes, phases: burst(1.7, 14_000) },
    {
        name: "1.7 times the room for 14 s, with callers that repeat at once",
        classes,
        phases: burst(1.7, 14_000),
        repeatingShare: 0.3,
    },
    { name: "3 times the room for 3 s, then half", classes, phases: burst(3, 3000) },
    { name: "3 times the room for 3 s, with callers that repeat at once", classes, phases: burst(3, 3000), repeatingShare: 0.3 },
];
