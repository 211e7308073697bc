/** Generates the reference pages. Run it from the root of the repository after a build. */
import { mkdirSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";
import { renderReferencePages } from "./lib/reference-pages.js";

for (const [path, text] of Object.entries(renderReferencePages(process.cwd()))) {
    mkdirSync(dirname(path), { recursive: true });
    writeFileSync(path, text);
}
