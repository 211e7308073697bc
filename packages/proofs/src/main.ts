/** `npm run prove`: runs every proof, or those that are named. */
import yargs from "yargs";
import { holds, renderResult } from "./lib/proof.js";
import { proofs } from "./lib/registry.js";

const defaultSeed = 1;

const args = yargs(process.argv.slice(2))
    .scriptName("npm run prove --")
    .usage("$0 [names..] --seed N")
    .option("seed", { type: "number", default: defaultSeed, describe: "The seed that the cases are drawn from." })
    .strictOptions()
    .parseSync();

const named = args._.map(String);
const unknown = named.filter(name => !Object.hasOwn(proofs, name));
if (unknown.length > 0) {
    console.error(`There is no proof named '${unknown.join("', '")}'. Name some of: ${Object.keys(proofs).join(", ")}.`);
    process.exit(2);
}

let failed = false;
for (const name of named.length > 0 ? named : Object.keys(proofs)) {
    console.log(`${name}: seed ${args.seed}`);
    const result = await proofs[name]!({ seed: args.seed });
    for (const note of result.notes) {
        console.log(`  ${note}`);
    }
    console.log(renderResult(name, result));
    failed ||= !holds(result);
}
// Sockets of a proof that failed half way must not keep the process.
process.exit(failed ? 1 : 0);
