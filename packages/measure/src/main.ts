/** `npm run measure`: runs the measurements named on the command line. */
import yargs from "yargs";
import { measurements } from "./lib/registry.js";

const defaultSeed = 1;

const args = yargs(process.argv.slice(2))
    .scriptName("npm run measure --")
    .usage("$0 names.. --seed N --json")
    .option("seed", { type: "number", default: defaultSeed, describe: "Seed of the generated test cases." })
    .option("json", { type: "boolean", default: false, describe: "Print JSON." })
    .strictOptions()
    .parseSync();

const requestedNames = args._.map(String);
const unknownNames = requestedNames.filter(name => !Object.hasOwn(measurements, name));
if (requestedNames.length === 0 || unknownNames.length > 0) {
    console.error(
        `There is no measurement named '${unknownNames.join("', '")}'. Name one or more of: ${
            Object.keys(measurements).join(", ")
        }.`,
    );
    process.exit(2);
}
for (const name of requestedNames) {
    await measurements[name]!({ seed: args.seed, json: args.json });
}
process.exit(0);
