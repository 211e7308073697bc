/** The reference page docs/EVENTS.md, generated from the catalogue of log events. */
import { events } from "./events.js";

/** Renders the catalogue as Markdown, with one table row per event, sorted by code. */
export const renderEventsPage = (): string => {
    const rows = Object.entries(events)
        .sort(([, a], [, b]) => a.code < b.code ? -1 : 1)
        .map(([name, { code, level, meaning, remedy }]) => `| ${code} | ${level} | \`${name}\` | ${meaning} | ${remedy} |`);
    return [
        "# Log events",
        "",
        "Generated from `packages/operations/src/lib/events.ts` by `npm run docs`; a test checks that this page is up to date.",
        "",
        "Every line of a log is one event. Codes are stable across versions; CP1 is about processes, CP2 about state hosts and",
        "the tables or configurations that they publish, CP3 about backend servers, CP4 about requests and CP5 about the hosts",
        "of the fleet. Warnings and errors are always written; informational events are written when `DEBUG` names the program,",
        "as in `DEBUG=cassiapick:*`. With `--log-format json` each line is one JSON object. The field `requestId` is the same on",
        "every host that a request passes.",
        "",
        "| Code | Level | Name | Meaning | What to do |",
        "| --- | --- | --- | --- | --- |",
        ...rows,
        "",
    ].join("\n");
};
