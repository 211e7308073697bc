#!/usr/bin/env node
/** The program `cassiapick-entry`. */
import { createEventLog, LogFormat, readSettings } from "@cassiapick/operations";
import { entrySettings } from "./lib/entry-settings.js";
import { startEntry } from "./lib/start-entry.js";

const usageError = 2;

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
    process.exit(usageError);
}

const entry = await startEntry(result.values);
console.log(JSON.stringify({ listening: entry.self }));

let stopping = false;
const stop = (): void => {
    if (!stopping) {
        stopping = true;
        void entry.stop().then(() => process.exit(0));
    }
};
process.on("SIGTERM", stop);
process.on("SIGINT", stop);
