#!/usr/bin/env node
/** Command-line entry point of `cassiapick-entry`: runs one entry host until SIGTERM or SIGINT. */
import { createEventLog, LogFormat, onStopSignal, readSettings } from "@cassiapick/operations";
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

const log = createEventLog({ program: "entry", hostId: result.values.hostId, format: result.values.logFormat });
onStopSignal(() => void entry.stop().then(() => process.exit(0)), log);
