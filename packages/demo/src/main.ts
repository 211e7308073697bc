/** `npm run demo`: starts a small fleet with its stand-ins. */
import yargs from "yargs";
import { runOnce } from "./lib/run-once.js";
import { runUntilStopped } from "./lib/run-until-stopped.js";

const args = yargs(process.argv.slice(2))
    .scriptName("npm run demo --")
    .option("once", { type: "boolean", default: false, describe: "Go through the whole path once and exit." })
    .strict()
    .parseSync();

// A signal before the fleet is up ends the demo at once; its exit handler ends the processes.
const abort = (): void => process.exit(1);
process.once("SIGTERM", abort);
process.once("SIGINT", abort);

if (args.once) {
    const isRight = await runOnce();
    process.exit(isRight ? 0 : 1);
}
await runUntilStopped();
process.exit(0);
