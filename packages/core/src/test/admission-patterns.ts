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

/** Three crowds of half a second with four times the room, and half of the room between them. */
const crowds = (count: number): LoadPattern["phases"] => [
    { untilMs: 3000, ratio: usual },
    ...Array.from({ length: count }, (_, index) => [
        { untilMs: 3500 + 3000 * index, ratio: 4 },
        { untilMs: 6000 + 3000 * index, ratio: usual },
    ]).flat(),
    { untilMs: 11_000 + 3000 * count, ratio: usual },
];

/** Loads that find too little room. */
export const patterns: LoadPattern[] = [
    { name: "1.2 times the room for 14 s", classes, phases: burst(1.2, 14_000) },
    { name: "1.7 times the room for 14 s", classes, phases: burst(1.7, 14_000) },
    {
        name: "1.7 times the room for 14 s, a third of the less urgent repeat at once",
        classes,
        phases: burst(1.7, 14_000),
        repeatingShare: 0.3,
    },
    { name: "3 times the room for 3 s, then half", classes, phases: burst(3, 3000) },
    {
        name: "3 times the room for 3 s, a third of the less urgent repeat at once",
        classes,
        phases: burst(3, 3000),
        repeatingShare: 0.3,
    },
    { name: "1.7 times the room, all of one priority", classes: [{ ...lessUrgent, share: 1 }], phases: burst(1.7, 8000) },
    {
        name: "half of the servers decline everything",
        classes,
        phases: burst(0.85, 8000),
        server: (index, now) => ({ declinesAll: index % 2 === 0 && now > 3000 && now < 11_000 }),
    },
    {
        name: "0.3 of the servers reset most requests",
        classes,
        phases: burst(1.1, 8000),
        server: (index, now) => ({ resetProbability: index % 3 === 0 && now > 3000 && now < 11_000 ? 0.7 : 0 }),
    },
    { name: "a crowd returns every 3 s", classes, phases: crowds(3) },
    {
        name: "servers of uneven speed, some of them cold",
        classes,
        phases: burst(1.2, 8000),
        server: (index, now) => ({ slowness: index % 4 === 0 && now < 7000 ? 2.5 : 0.7 + 0.1 * (index % 6) }),
    },
    { name: "a workspace that sends half of the requests", classes, phases: burst(1.7, 8000), hotWorkspaceShare: 0.5 },
];

/** Loads that find room, so that nothing may wait. */
export const ordinaryPatterns: LoadPattern[] = [
    { name: "half of the room", classes, phases: burst(0.5, 6000) },
    {
        name: "a quarter of the room on uneven servers",
        classes,
        phases: burst(0.25, 6000),
        server: index => ({ slowness: 0.7 + 0.1 * (index % 6) }),
    },
];
