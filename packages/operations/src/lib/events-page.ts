/** Renders the catalogue of log events for docs/EVENTS.md. */
import { events } from "./events.js";

/** Renders the page as Markdown. */
export const renderEventsPage = (): string => {
    const rows = Object.entries(events)
        .sort(([, a], [, b]) => a.code < b.code ? -1 : 1)
        .map(([name, { code, level, meaning, remedy }]) => `| ${code} | ${level} | \`${name}\` | ${meaning} | ${remedy} |`);
    return [
        "# Log events",
        "",
        "Generated from `packages/operations/src/lib/events.ts` by `npm run docs`; a test compares the two.",
        "",
        "Every line of a log is one event. Numbers are stable across versions; CP1 is about processes, CP2 about tables,",
        "CP3 about backend servers, CP4 about requests and CP5 about the hosts of the fleet. Warnings and errors are always",
        "written; informational events are written when `DEBUG` names the program, as in `DEBUG=cassiapick:*`. With",
        "`--log-format json` each line is one JSON object. The field `requestId` is the same on every host that a request",
        "passes.",
        "",
        "| Number | Level | Name | Meaning | What to do |",
        "| --- | --- | --- | --- | --- |",
        ...rows,
        "",
    ].join("\n");
};
