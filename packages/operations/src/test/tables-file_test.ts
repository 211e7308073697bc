/** The tables files: positions of errors, limits, and that the parser never throws. */
import { expect } from "chai";
import fc from "fast-check";
import { readFileSync } from "node:fs";
import { formatTables, parseTables } from "../lib/tables-file.js";
import { maxTablesChars } from "../lib/tables-schema.js";

const seed = 20_261_203;
const route = "  - { brand: oka, kind: seat-maps, destination: seat-maps }\n";
const routes = `format: 1\nroutes:\n${route}`;
const pools = "format: 1\npools:\n  - { destination: seat-maps, service: seat-maps }\n";

const messagesOf = (routesText: string, poolsText: string): string[] => {
    const result = parseTables(routesText, poolsText);
    return result.ok ? [] : result.errs.map(err => `${err.file}:${err.line}:${err.column}: ${err.place}: ${err.message}`);
};

describe("parseTables", () => {
    const cases: Array<{ name: string; routes?: string; pools?: string; expectedText: string; }> = [
        {
            name: "an unknown field",
            routes: routes.replace("kind", "knd"),
            expectedText: "routes:3:19: routes[0].knd: The field 'knd' is not known. Did you mean 'kind'?",
        },
        {
            name: "a missing field",
            routes: routes.replace("kind: seat-maps, ", ""),
            expectedText: "routes:3:5: routes[0].kind: The field is missing.",
        },
        {
            name: "an upper-case name",
            routes: routes.replace("oka", "Oka"),
            expectedText: "routes:3:14: routes[0].brand: Expected up to 63 lower-case",
        },
        {
            name: "a duplicate row",
            routes: `${routes}${route}`,
            expectedText: "routes:4:5: routes[1]: A route of brand 'oka' and kind 'seat-maps' is already defined in line 3.",
        },
        {
            name: "a duplicate pool",
            pools: `${pools}  - { destination: seat-maps, service: x }\n`,
            expectedText: "pools:4:5: pools[1]: A pool for destination 'seat-maps' is already defined in line 3.",
        },
        {
            name: "an unknown destination",
            routes: routes.replace("n: seat-maps", "n: seat-map"),
            expectedText: "No pool is named 'seat-map'. Did you mean 'seat-maps'?",
        },
        { name: "another format", routes: routes.replace("1", "2"), expectedText: "routes:1:9: format: Expected 'format: 1'" },
        { name: "no format", routes: "routes: []", expectedText: "routes:1:1: format: Expected 'format: 1'" },
        {
            name: "a floor above 1",
            pools: pools.replace(" }", ", floorShare: 1.5 }"),
            expectedText: "pools:3:63: pools[0].floorShare: Expected a share from 0 to 1",
        },
        {
            name: "an unknown mode",
            pools: pools.replace(" }", ", detection: fast }"),
            expectedText: "Expected one of: prompt, careful",
        },
        {
            name: "a duplicate key in YAML",
            routes: `${routes}format: 1\n`,
            expectedText: "routes:4:1: routes: The file is not valid YAML: Map keys must be unique",
        },
        { name: "an empty file", routes: "", expectedText: "Expected the fields 'format' and 'routes'" },
        { name: "a file that is too long", routes: "#".repeat(maxTablesChars + 1), expectedText: "the limit is" },
        {
            name: "aliases that expand exponentially",
            routes: `a: &a [x,x,x,x,x,x,x,x,x]\nb: &b [*a,*a,*a,*a,*a,*a]\nc: &c [*b,*b,*b,*b,*b,*b]\nd: [*c,*c,*c,*c,*c]\n`,
            expectedText: "not valid YAML",
        },
    ];
    for (const { name, routes: routesText, pools: poolsText, expectedText } of cases) {
        it(`reports the position of ${name}`, () => {
            expect(messagesOf(routesText ?? routes, poolsText ?? pools).join("\n")).to.include(expectedText);
        });
    }

    for (const example of ["ticketing", "cartons"]) {
        it(`parses the ${example} example, and formats it so that it parses to the same tables`, () => {
            const readExample = (file: string): string => readFileSync(`examples/${example}/${file}.yaml`, "utf8");
            const first = parseTables(readExample("routes"), readExample("pools"));
            expect(first.ok).to.be.true;
            const texts = formatTables(first.ok ? first.tables : { routes: [], pools: [] });
            expect(parseTables(texts.routes, texts.pools)).to.deep.equal(first);
        });
    }

    it("never throws on invalid texts", () => {
        const damagedText = fc.tuple(fc.nat(routes.length), fc.string({ unit: "grapheme" }), fc.nat(5))
            .map(([offset, text, removedChars]) => routes.slice(0, offset) + text + routes.slice(offset + removedChars));
        const jsonText = fc.jsonValue().map(json => JSON.stringify(json));
        fc.assert(
            fc.property(fc.oneof(damagedText, jsonText, fc.string()), text => {
                expect(parseTables(text, pools)).to.have.property("ok");
                expect(parseTables(routes, text)).to.have.property("ok");
            }),
            { seed, numRuns: 500 },
        );
    });
});
