/** Runs the proofs named on the command line of `npm run prove`, or all of them. */
import yargs from "yargs";
import { proofHolds, renderResult } from "./lib/proof.js";
import { proofs } from "./lib/registry.js";

const defaultSeed = 1;

const args = yargs(process.argv.slice(2))
    .scriptName("npm run prove --")
    .usage("$0 [names..] --seed N")
    .option("seed", { type: "number", default: defaultSeed, describe: "The seed of the random cases." })
    .strictOptions()
    .parseSync();

const requestedNames = args._.map(String);
const unknownNames = requestedNames.filter(name => !Object.hasOwn(proofs, name));
if (unknownNames.length > 0) {
    console.error(`There is no proof named '${unknownNames.join("', '")}'. Choose from: ${Object.keys(proofs).join(", ")}.`);
    process.exit(2);
}

let failed = false;
for (const name of requestedNames.length > 0 ? requestedNames : Object.keys(proofs)) {
    console.log(`${name}: seed ${args.seed}`);
    const result = await proofs[name]!({ seed: args.seed });
    for (const note of result.notes) {
        console.log(`  ${note}`);
    }
    console.log(renderResult(name, result));
    failed ||= !proofHolds(result);
}
// A proof that failed part-way may leave sockets open, which would keep the process alive.
process.exit(failed ? 1 : 0);
