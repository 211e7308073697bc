/** The tables files: places of errors, limits, and that nothing makes the parser throw. */
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
    const cases: Array<{ name: string; routes?: string; pools?: string; says: string; }> = [
        {
            name: "an unknown field",
            routes: routes.replace("kind", "knd"),
            says: "routes:3:19: routes[0].knd: The field 'knd' is not known. Did you mean 'kind'?",
        },
        {
            name: "a missing field",
            routes: routes.replace("kind: seat-maps, ", ""),
            says: "routes:3:5: routes[0].kind: The field is missing.",
        },
        {
            name: "an upper-case name",
            routes: routes.replace("oka", "Oka"),
            says: "routes:3:14: routes[0].brand: Expected up to 63 lower-case",
        },
        {
            name: "a row twice",
            routes: `${routes}${route}`,
            says: "routes:4:5: routes[1]: A route of brand 'oka' and kind 'seat-maps' stands in line 3 already.",
        },
        {
            name: "a pool twice",
            pools: `${pools}  - { destination: seat-maps, service: x }\n`,
            says: "pools:4:5: pools[1]: A pool for destination 'seat-maps' stands in line 3 already.",
        },
        {
            name: "an unknown destination",
            routes: routes.replace("n: seat-maps", "n: seat-map"),
            says: "No pool is named 'seat-map'. Did you mean 'seat-maps'?",
        },
        { name: "another format", routes: routes.replace("1", "2"), says: "routes:1:9: format: Expected 'format: 1'" },
        { name: "no format", routes: "routes: []", says: "routes:1:1: format: Expected 'format: 1'" },
        {
            name: "a floor above 1",
            pools: pools.replace(" }", ", floorShare: 1.5 }"),
            says: "pools:3:63: pools[0].floorShare: Expected a share from 0 to 1",
        },
        { name: "an unknown mode", pools: pools.replace(" }", ", detection: fast }"), says: "Expected one of: prompt, careful" },
        {
            name: "a key twice in YAML",
            routes: `${routes}format: 1\n`,
            says: "routes:4:1: routes: The file is not valid YAML: Map keys must be unique",
        },
        { name: "an empty file", routes: "", says: "Expected the fields 'format' and 'routes'" },
        { name: "a file that is too long", routes: "#".repeat(maxTablesChars + 1), says: "the limit is" },
        {
            name: "aliases that multiply",
            routes: `a: &a [x,x,x,x,x,x,x,x,x]\nb: &b [*a,*a,*a,*a,*a,*a]\nc: &c [*b,*b,*b,*b,*b,*b]\nd: [*c,*c,*c,*c,*c]\n`,
            says: "not valid YAML",
        },
    ];
    for (const { name, routes: routesText, pools: poolsText, says } of cases) {
        it(`tells the place of ${name}`, () => {
            expect(messagesOf(routesText ?? routes, poolsText ?? pools).join("\n")).to.include(says);
        });
    }

    for (const example of ["ticketing", "cartons"]) {
        it(`reads the ${example} example and reads back what it writes`, () => {
            const read = (file: string): string => readFileSync(`examples/${example}/${file}.yaml`, "utf8");
            const first = parseTables(read("routes"), read("pools"));
            expect(first.ok).to.be.true;
            const texts = formatTables(first.ok ? first.tables : { routes: [], pools: [] });
            expect(parseTables(texts.routes, texts.pools)).to.deep.equal(first);
        });
    }

    it("never throws at a text that is not a table", () => {
        const damaged = fc.tuple(fc.nat(routes.length), fc.string({ unit: "grapheme" }), fc.nat(5))
            .map(([at, text, cut]) => routes.slice(0, at) + text + routes.slice(at + cut));
        const value = fc.jsonValue().map(json => JSON.stringify(json));
        fc.assert(
            fc.property(fc.oneof(damaged, value, fc.string()), text => {
                expect(parseTables(text, pools)).to.have.property("ok");
                expect(parseTables(routes, text)).to.have.property("ok");
            }),
            { seed, numRuns: 500 },
        );
    });
});
