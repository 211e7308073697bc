/** Runs all tests except those that KNOWN-RED.txt lists by their full titles, in lines that begin with "test: ". */
const { existsSync, readFileSync } = require("node:fs");
const { join } = require("node:path");

const knownRedFile = join(__dirname, "KNOWN-RED.txt");
const entryPrefix = "test: ";
const knownRedTitles = existsSync(knownRedFile)
    ? readFileSync(knownRedFile, "utf8").split("\n")
        .filter(line => line.startsWith(entryPrefix))
        .map(line => line.slice(entryPrefix.length).trim())
    : [];

const escapeRegExp = text => text.replace(/[.*+?^${}()|[\]\\]/gu, "\\$&");
const exclusion = knownRedTitles.length === 0
    ? {}
    : { grep: new RegExp(`^(?:${knownRedTitles.map(escapeRegExp).join("|")})$`, "u"), invert: true };

module.exports = {
    spec: ["packages/*/dist/test/**/*_test.js", "platform/dist/test/**/*_test.js"],
    timeout: 60_000,
    exit: false,
    ...exclusion,
};
