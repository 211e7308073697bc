#!/usr/bin/env node
/** Command-line entry point of `cassiapick-entry`: runs one entry host until SIGTERM or SIGINT. */
import { createEventLog, LogFormat, readSettings } from "@cassiapick/operations";
import { entrySettings } from "./lib/entry-settings.js";
import { startEntry } from "./lib/start-entry.js";

const usageErrorExitCode = 2;

const result = readSettings({
    program: "cassiapick-entry",
    definitions: entrySettings,
    args: process.argv.slice(2),
    env: process.env,
});
if (!result.ok) {
    const log = createEventLog({ program: "entry", hostId: "-", format: LogFormat.Text });
    for (const err of result.errs) {
        log.log("settingsInvalid", { setting: err.setting, message: err.message });
    }
    process.exit(usageErrorExitCode);
}

const entry = await startEntry(result.values);
console.log(JSON.stringify({ listening: entry.self }));

let isStopping = false;
const stop = (): void => {
    if (!isStopping) {
        isStopping = true;
        void entry.stop().then(() => process.exit(0));
    }
};
process.on("SIGTERM", stop);
process.on("SIGINT", stop);
