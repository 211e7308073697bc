/** docs/EVENTS.md and docs/SETTINGS.md are up to date with the code. */
import { expect } from "chai";
import { readFileSync } from "node:fs";
import { renderReferencePages } from "../lib/reference-pages.js";

describe("the reference pages", () => {
    for (const path of ["docs/EVENTS.md", "docs/SETTINGS.md"]) {
        it(`${path} is what 'npm run docs' writes`, () => {
            expect(readFileSync(path, "utf8")).to.equal(renderReferencePages(".")[path]);
        });
    }
});
