/** Malformed input must neither make the frame reader throw nor affect the readers of other connections. */
import { expect } from "chai";
import fc from "fast-check";
import { deflateRawSync } from "node:zlib";
import { createFrameReader, encodeCompactFrame, encodeFrame } from "../lib/frame-codec.js";
import { isEnvelope } from "../lib/rpc-message.js";

const seed = 20_261_203;
const limitBytes = 1 << 16;
const sampleEnvelope = { kind: "request", id: 7, channel: "state", body: { list: [1, "two", { three: 3.5 }], none: undefined } };

const frameOf = (body: Uint8Array): Buffer => {
    const length = Buffer.alloc(4);
    length.writeUInt32BE(body.length);
    return Buffer.concat([length, body]);
};

/** Malformed input to one reader must not affect a new reader, for example through shared decoder state. */
const expectNewReaderWorks = (): void => {
    expect(createFrameReader(limitBytes).push(encodeFrame(sampleEnvelope))).to.deep.equal({ ok: true, values: [sampleEnvelope] });
};

const expectNoThrow = (bytes: Uint8Array): void => {
    const result = createFrameReader(limitBytes).push(bytes);
    if (result.ok) {
        result.values.forEach(value => isEnvelope(value));
    }
    expectNewReaderWorks();
};

describe("createFrameReader", () => {
    it("does not throw on arbitrary bytes", () => {
        fc.assert(fc.property(fc.uint8Array({ maxLength: 64 }), bytes => expectNoThrow(bytes)), { seed, numRuns: 2000 });
    });

    it("does not throw on a valid length with an arbitrary body", () => {
        fc.assert(fc.property(fc.uint8Array({ maxLength: 64 }), body => expectNoThrow(frameOf(body))), {
            seed,
            numRuns: 5000,
        });
    });

    it("does not throw on valid frames with changed bytes", () => {
        const byteChange = fc.tuple(fc.nat(200), fc.nat(255));
        fc.assert(
            fc.property(fc.jsonValue(), fc.array(byteChange, { minLength: 1, maxLength: 4 }), (value, changes) => {
                const frame = Buffer.from(encodeFrame(value));
                for (const [position, byte] of changes) {
                    frame[position % frame.length] = byte;
                }
                expectNoThrow(frame);
            }),
            { seed, numRuns: 3000 },
        );
    });

    const malformedBodies: Array<{ name: string; body: Buffer; }> = [
        { name: "an array of 2^32 items", body: Buffer.from("9affffffff", "hex") },
        { name: "an array of 2^64 items", body: Buffer.from("9bffffffffffffffff", "hex") },
        { name: "a map of 2^28 items", body: Buffer.from("ba0fffffff", "hex") },
        { name: "a string of 2^31 bytes", body: Buffer.from("7a7fffffff", "hex") },
        { name: "unterminated nested arrays", body: Buffer.alloc(limitBytes, 0x81) },
        { name: "a record definition", body: Buffer.from("d9dfff8319e000810181", "hex") },
        { name: "a reference to a shared value", body: Buffer.from("d81d00", "hex") },
        { name: "an empty body", body: Buffer.alloc(0) },
        { name: "two values in one frame", body: Buffer.from("0101", "hex") },
    ];
    for (const { name, body } of malformedBodies) {
        it(`refuses ${name}`, () => {
            expect(createFrameReader(limitBytes).push(frameOf(body))).to.deep.include({ ok: false });
            expectNewReaderWorks();
        });
    }

    const limits: [name: string, lengths: number[], isAccepted: boolean][] = [
        ["a short frame, then a longer one", [50, 5000], true],
        ["a first frame beyond its limit", [200], false],
        ["a later frame beyond the limit of all", [50, limitBytes + 1], false],
    ];
    for (const [name, lengths, isAccepted] of limits) {
        it(`${isAccepted ? "accepts" : "refuses"} ${name}`, () => {
            const reader = createFrameReader(limitBytes, 100);
            const results = lengths.map(length => reader.push(encodeFrame(Buffer.alloc(length))).ok);
            expect(results.every(ok => ok)).to.equal(isAccepted);
        });
    }

    it("refuses a frame by its length, before its content arrives", () => {
        expect(createFrameReader(limitBytes, 100).push(Buffer.from([0, 0, 1, 0])).ok).to.equal(false);
    });

    it("does not let a value set its prototype", () => {
        const body = Buffer.from("a1695f5f70726f746f5f5fa1616101", "hex");
        const result = createFrameReader(limitBytes).push(frameOf(body));
        expect(result.ok && Object.getPrototypeOf(result.values[0])).to.equal(Object.prototype);
        expect(({} as { a?: unknown; }).a).to.equal(undefined);
    });

    it("refuses a frame over the limit before its bytes arrive", () => {
        const length = Buffer.alloc(4);
        length.writeUInt32BE(limitBytes + 1);
        expect(createFrameReader(limitBytes).push(length)).to.have.nested.property("err.kind", "frame-too-large");
    });

    it("reads the same values for any division into chunks", () => {
        fc.assert(
            fc.property(
                fc.array(fc.jsonValue(), { maxLength: 5 }),
                fc.array(fc.integer({ min: 1, max: 9 })),
                (values, chunkLengths) => {
                    const bytes = Buffer.concat(values.map(value => encodeFrame(value)));
                    const reader = createFrameReader(limitBytes);
                    const readValues: unknown[] = [];
                    let start = 0;
                    for (let index = 0; start < bytes.length; index += 1) {
                        const end = start + (chunkLengths[index] ?? bytes.length);
                        const result = reader.push(bytes.subarray(start, end));
                        readValues.push(...result.ok ? result.values : ["refused"]);
                        start = end;
                    }
                    expect(JSON.stringify(readValues)).to.equal(JSON.stringify(values));
                },
            ),
            { seed, numRuns: 500 },
        );
    });

    it("deflates long values and reads them from several chunks", () => {
        const routes = Array.from(
            { length: 350 },
            (_, index) => ({ name: `route-${index}`, hostName: "a.example", timeoutMs: 1000 }),
        );
        const frame = encodeCompactFrame(routes);
        expect(frame.length).to.be.below(encodeFrame(routes).length / 4);
        const reader = createFrameReader();
        expect(reader.push(frame.subarray(0, 100))).to.deep.equal({ ok: true, values: [] });
        expect(reader.hasPartialFrame()).to.equal(true);
        expect(reader.push(frame.subarray(100))).to.deep.equal({ ok: true, values: [routes] });
        expect(reader.hasPartialFrame()).to.equal(false);
    });

    it("refuses a deflated value that inflates beyond the limit", () => {
        const deflated = deflateRawSync(Buffer.alloc(10 * limitBytes));
        const frame = Buffer.concat([Buffer.alloc(4), deflated]);
        frame.writeUInt32BE(0x8000_0000 + deflated.length, 0);
        expect(createFrameReader(limitBytes).push(frame).ok).to.equal(false);
    });
});
