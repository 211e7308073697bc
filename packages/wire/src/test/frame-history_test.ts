import { expect } from "chai";
import { createFrameHistory, createFrameReader, encodeCompactFrame, encodeFrame, encodeFrameWithHistory } from "../index.js";

/** A document whose names deflate badly, as those of keys do; `changed` is in one row. */
const documentOf = (rows: number, changed: string): string => {
    let state = 1;
    const word = (): string => {
        state = (state * 48_271) % 2_147_483_647;
        return state.toString(36);
    };
    return JSON.stringify(Array.from({ length: rows }, (_, row) => [word(), word(), word(), row === 3 ? changed : ""]));
};

describe("frames with history", () => {
    const sequences: [name: string, values: unknown[]][] = [
        ["short values only", [1, { k: "a" }, "b"]],
        ["values around the longest with a short length", [28, 29, 30, 31, 32, 33].map(length => "a".repeat(length))],
        ["a document and its changes", [documentOf(300, "a"), documentOf(300, "b"), documentOf(300, "c")]],
        ["documents longer than the window", [documentOf(3000, "a"), documentOf(3000, "b"), documentOf(10, "c")]],
        ["long values with nothing in common", [
            documentOf(3000, "a"),
            "z".repeat(100_000),
            documentOf(2500, "q"),
            documentOf(2500, "r"),
        ]],
        ["short and long values in turns", [{ k: "a" }, documentOf(100, "a"), 5, documentOf(100, "b"), { k: "b" }]],
    ];
    for (const [name, values] of sequences) {
        const modes: [chunkBytes: number, takesPatches: boolean][] = [[7, false], [1_000_000, false], [7, true], [
            1_000_000,
            true,
        ]];
        for (const [chunkBytes, takesPatches] of modes) {
            it(`carry ${name}, in chunks of ${chunkBytes} bytes${takesPatches ? ", with patches" : ""}`, () => {
                const history = createFrameHistory();
                const bytes = Buffer.concat(values.map(value => encodeFrameWithHistory(value, history, takesPatches)));
                const reader = createFrameReader();
                const received: unknown[] = [];
                for (let start = 0; start < bytes.length; start += chunkBytes) {
                    const result = reader.push(bytes.subarray(start, start + chunkBytes));
                    expect(result.ok).to.equal(true);
                    received.push(...result.ok ? result.values : []);
                }
                expect(received).to.deep.equal(values);
            });
        }
    }

    const longValues: [name: string, before: unknown[], value: unknown, maxBytes: number][] = [
        ["a long value after one that differs in a row", [documentOf(3000, "a")], documentOf(3000, "b"), 100],
        ["a long value after short ones", [documentOf(3000, "a"), 5, documentOf(10, "a")], documentOf(3000, "b"), 100],
        ["a long value that was patched before", [documentOf(3000, "a"), documentOf(3000, "b")], documentOf(3000, "c"), 100],
        ["the first long value", [5], documentOf(3000, "b"), Infinity],
        ["a long value after one that is too long to keep", [documentOf(120_000, "a")], documentOf(3000, "b"), Infinity],
    ];
    for (const [name, before, value, maxBytes] of longValues) {
        it(`carry ${name} as a patch, or whole`, () => {
            const history = createFrameHistory();
            const reader = createFrameReader();
            before.forEach(earlier => reader.push(encodeFrameWithHistory(earlier, history, true)));
            const frame = encodeFrameWithHistory(value, history, true);
            expect(reader.push(frame)).to.deep.equal({ ok: true, values: [value] });
            expect(frame.length).to.be.at.most(maxBytes);
            expect(frame.length < 1000).to.equal(maxBytes < Infinity);
        });
    }

    it("are refused if they hold a patch of a value that the link has not carried", () => {
        const history = createFrameHistory();
        encodeFrameWithHistory(documentOf(3000, "a"), history, true);
        const result = createFrameReader().push(encodeFrameWithHistory(documentOf(3000, "b"), history, true));
        expect(result.ok).to.equal(false);
    });

    it("have one byte before a short value", () => {
        expect(encodeFrameWithHistory([4, 137], createFrameHistory()).length).to.equal(5);
    });

    it("may stand between frames without history", () => {
        const history = createFrameHistory();
        const values = [documentOf(100, "a"), documentOf(100, "b"), documentOf(100, "c")];
        const frames = [
            encodeFrameWithHistory(values[0], history),
            encodeCompactFrame(values[1]),
            encodeFrame(values[1]),
            encodeFrameWithHistory(values[2], history),
        ];
        const result = createFrameReader().push(Buffer.concat(frames));
        expect(result).to.deep.equal({ ok: true, values: [values[0], values[1], values[1], values[2]] });
    });

    // The goal for what hosts tell each other is a quarter of the bytes before (issue 37).
    it("take at most a quarter of the bytes for a changed document", () => {
        const history = createFrameHistory();
        encodeFrameWithHistory(documentOf(300, "a"), history);
        const changed = documentOf(300, "b");
        expect(encodeFrameWithHistory(changed, history).length).to.be.at.most(encodeCompactFrame(changed).length / 4);
    });

    it("are refused by a reader that has not received what they build on", () => {
        const history = createFrameHistory();
        encodeFrameWithHistory(documentOf(300, "a"), history);
        const result = createFrameReader().push(encodeFrameWithHistory(documentOf(300, "b"), history));
        expect(result.ok).to.equal(false);
    });

    it("are refused if they inflate beyond the limit", () => {
        const frame = encodeFrameWithHistory("a".repeat(10_000), createFrameHistory());
        expect(createFrameReader(5000).push(frame).ok).to.equal(false);
    });
});
