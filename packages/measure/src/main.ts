/** `npm run measure`: runs the measurements that are named. */
import yargs from "yargs";
import { measurements } from "./lib/registry.js";

const defaultSeed = 1;

const args = yargs(process.argv.slice(2))
    .scriptName("npm run measure --")
    .usage("$0 names.. --seed N --json")
    .option("seed", { type: "number", default: defaultSeed, describe: "The seed that the cases are drawn from." })
    .option("json", { type: "boolean", default: false, describe: "Print JSON." })
    .strictOptions()
    .parseSync();

const named = args._.map(String);
const unknown = named.filter(name => !Object.hasOwn(measurements, name));
if (named.length === 0 || unknown.length > 0) {
    console.error(
        `There is no measurement named '${unknown.join("', '")}'. Name some of: ${Object.keys(measurements).join(", ")}.`,
    );
    process.exit(2);
}
for (const name of named) {
    await measurements[name]!({ seed: args.seed, json: args.json });
}
process.exit(0);
