import { expect } from "chai";
import { isChunked, isTransferEncoded } from "../lib/transfer-coding.js";

describe("the transfer codings of an answer", () => {
    const cases: [values: string[], isChunked: boolean, isEncoded: boolean][] = [
        [[], false, false],
        [[""], false, false],
        [["identity"], false, false],
        [["chunked"], true, false],
        [["Chunked "], true, false],
        [[",chunked"], true, false],
        [["identity, chunked"], true, false],
        [["identity", "chunked"], true, false],
        [["gzip"], false, true],
        [["gzip, chunked"], true, true],
        [["chunked, gzip"], false, true],
        [["chunked, identity"], false, true],
        [["chunked", "identity"], false, true],
        [["chunked, chunked"], true, true],
        [["chunked,"], false, true],
        [["chunked;a=b"], false, true],
        [["xchunked"], false, true],
    ];
    for (const [values, chunked, encoded] of cases) {
        it(`${JSON.stringify(values)} are${chunked ? "" : " not"} chunks${encoded ? " of an encoded body" : ""}`, () => {
            expect([isChunked(values), isTransferEncoded(values)]).to.deep.equal([chunked, encoded]);
        });
    }
});
