#!/usr/bin/env node
/** Entry point of the `cassiapick` executable. */
import { runCli } from "./lib/cli.js";
import { renderOutcome } from "./lib/output.js";

const { code, out, err } = renderOutcome(await runCli(process.argv.slice(2), process.env));
if (out !== "") {
    process.stdout.write(`${out}\n`);
}
if (err !== "") {
    process.stderr.write(`${err}\n`);
}
process.exitCode = code;
