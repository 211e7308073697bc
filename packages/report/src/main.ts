#!/usr/bin/env node
/** Entry point of the `cassiapick-report` executable. */
import { readSettings, settingsExitCode } from "@cassiapick/operations";
import { reportSettings } from "./lib/report-settings.js";
import { runReport } from "./lib/run-report.js";

const settings = readSettings({
    program: "cassiapick-report",
    definitions: reportSettings,
    args: process.argv.slice(2),
    env: process.env,
});
if (settings.ok) {
    const { code, out, err } = await runReport(settings.values, Date.now);
    process.stdout.write(out === "" ? "" : `${out}\n`);
    process.stderr.write(err === "" ? "" : `${err}\n`);
    process.exitCode = code;
}
else {
    process.stderr.write(`${settings.errs.map(err => err.message).join("\n")}\n`);
    process.exitCode = settingsExitCode;
}
