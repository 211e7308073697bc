/** The reference pages that are written from the code: docs/SETTINGS.md and docs/EVENTS.md. */
import { execFileSync } from "node:child_process";
import { existsSync } from "node:fs";
import { join } from "node:path";
import { renderEventsPage } from "./events-page.js";

/** Programs that read their settings by `readSettings`, in the order of the page. */
const programs = [
    "packages/entry/dist/main.js",
    "packages/state/dist/main.js",
    "packages/report/dist/main.js",
    "packages/standins/dist/backend-main.js",
    "packages/standins/dist/caller-main.js",
];

const settingsHead = [
    "# Settings",
    "",
    "Written from the declarations of the programs by `npm run docs`; a test compares the two.",
    "",
    "A flag goes before a variable, and a variable before a default. `--print-settings` shows each value and where it came",
    "from. A setting that is missing or wrong ends the program with code 2 and a message that names it. Secrets are read",
    "from files, never from flags or variables. The options of `cassiapick` are in operators/command-line.md.",
    "",
].join("\n");

const describeProgram = (path: string): string =>
    execFileSync(process.execPath, [path, "--describe-settings"], { encoding: "utf8", env: {} });

/** Renders docs/SETTINGS.md by asking each built program below `root`; programs that are not built are left out. */
const renderSettingsPage = (root: string): string => {
    const sections = programs.map(path => join(root, path)).filter(path => existsSync(path)).map(describeProgram);
    return [settingsHead, ...sections].join("\n");
};

/** Every page by its path below the root of the repository. */
export const renderReferencePages = (root: string): Record<string, string> => ({
    "docs/EVENTS.md": renderEventsPage(),
    "docs/SETTINGS.md": renderSettingsPage(root),
});
