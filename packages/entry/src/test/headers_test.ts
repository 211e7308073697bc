import { expect } from "chai";
import { endToEndHeaders } from "../lib/headers.js";

const cases = [
    {
        name: "keeps end-to-end headers",
        headers: { "accept": "a", "x-mark": "1" },
        expected: { "accept": "a", "x-mark": "1" },
    },
    {
        name: "drops hop-by-hop headers",
        headers: {
            "connection": "keep-alive",
            "keep-alive": "timeout=5",
            "te": "trailers",
            "transfer-encoding": "chunked",
            "upgrade": "x",
        },
        expected: {},
    },
    {
        name: "drops headers listed in the Connection header",
        headers: { "connection": "X-Secret, close", "x-secret": "1", "x-kept": "2" },
        expected: { "x-kept": "2" },
    },
    {
        name: "drops the fleet's own headers, so that they can't be forged",
        headers: { "cassiapick-visited": "a", "cassiapick-hop-token": "t", "cassiapick-outcome": "completed" },
        expected: {},
    },
    {
        name: "keeps each value of a repeated header",
        headers: { "set-cookie": ["a=1", "b=2"] },
        expected: { "set-cookie": ["a=1", "b=2"] },
    },
];

describe("endToEndHeaders", () => {
    for (const { name, headers, expected } of cases) {
        it(name, () => expect(endToEndHeaders(headers)).to.deep.equal(expected));
    }
});
