/** `npm run demo`: starts a small fleet with its stand-ins. */
import yargs from "yargs";
import { runOnce } from "./lib/run-once.js";
import { runUntilStopped } from "./lib/run-until-stopped.js";

const args = yargs(process.argv.slice(2))
    .scriptName("npm run demo --")
    .option("once", { type: "boolean", default: false, describe: "Run one scripted scenario and exit." })
    .strict()
    .parseSync();

// A signal during startup ends the demo immediately; the exit handler kills the child processes.
const abort = (): void => process.exit(1);
process.once("SIGTERM", abort);
process.once("SIGINT", abort);

if (args.once) {
    const isCorrect = await runOnce();
    process.exit(isCorrect ? 0 : 1);
}
await runUntilStopped();
process.exit(0);
