/** The reference pages that are generated from the code: docs/SETTINGS.md and docs/EVENTS.md. */
import { execFileSync } from "node:child_process";
import { existsSync } from "node:fs";
import { join } from "node:path";
import { renderEventsPage } from "./events-page.js";

/** Compiled programs whose settings docs/SETTINGS.md lists, relative to the root of the repository, in the order of the page. */
const programs = [
    "packages/entry/dist/main.js",
    "packages/state/dist/main.js",
    "packages/report/dist/main.js",
    "packages/standins/dist/backend-main.js",
    "packages/standins/dist/caller-main.js",
];

const settingsHeader = [
    "# Settings",
    "",
    "Generated from the declarations of the programs by `npm run docs`; a test checks that this page is up to date.",
    "",
    "A flag takes precedence over a variable, and a variable over a default. `--print-settings` shows each value and its",
    "source. If a setting is missing or invalid, the program exits with code 2 and a message that names it. Secrets are read",
    "from files, never from flags or variables. The options of `cassiapick` are in operators/command-line.md.",
    "",
].join("\n");

const describeProgram = (path: string): string =>
    execFileSync(process.execPath, [path, "--describe-settings"], { encoding: "utf8", env: {} });

/** Renders docs/SETTINGS.md by running each built program below `root`; programs that are not built are omitted. */
const renderSettingsPage = (root: string): string => {
    const sections = programs.map(path => join(root, path)).filter(path => existsSync(path)).map(describeProgram);
    return [settingsHeader, ...sections].join("\n");
};

/** Renders all pages; keys are paths relative to the root of the repository. */
export const renderReferencePages = (root: string): Record<string, string> => ({
    "docs/EVENTS.md": renderEventsPage(),
    "docs/SETTINGS.md": renderSettingsPage(root),
});
