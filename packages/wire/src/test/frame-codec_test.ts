/** Frames: whatever bytes arrive, the reader neither throws nor lets one connection reach another. */
import { expect } from "chai";
import fc from "fast-check";
import { deflateRawSync } from "node:zlib";
import { createFrameReader, encodeCompactFrame, encodeFrame } from "../lib/frame-codec.js";
import { isEnvelope } from "../lib/rpc-message.js";

const seed = 20_261_203;
const limit = 1 << 16;
const known = { kind: "request", id: 7, channel: "state", body: { list: [1, "two", { three: 3.5 }], none: undefined } };

const frameOf = (body: Uint8Array): Buffer => {
    const length = Buffer.alloc(4);
    length.writeUInt32BE(body.length);
    return Buffer.concat([length, body]);
};

/** A reader that has read nothing yet must read a good frame whatever others were sent before. */
const expectOthersUnharmed = (): void => {
    expect(createFrameReader(limit).push(encodeFrame(known))).to.deep.equal({ ok: true, values: [known] });
};

const readWithoutThrowing = (bytes: Uint8Array): void => {
    const result = createFrameReader(limit).push(bytes);
    if (result.ok) {
        result.values.forEach(value => isEnvelope(value));
    }
    expectOthersUnharmed();
};

describe("createFrameReader", () => {
    it("survives any bytes", () => {
        fc.assert(fc.property(fc.uint8Array({ maxLength: 64 }), bytes => readWithoutThrowing(bytes)), { seed, numRuns: 2000 });
    });

    it("survives any body in a well-formed frame", () => {
        fc.assert(fc.property(fc.uint8Array({ maxLength: 64 }), body => readWithoutThrowing(frameOf(body))), {
            seed,
            numRuns: 5000,
        });
    });

    it("survives good frames with bytes changed", () => {
        const change = fc.tuple(fc.nat(200), fc.nat(255));
        fc.assert(
            fc.property(fc.jsonValue(), fc.array(change, { minLength: 1, maxLength: 4 }), (value, changes) => {
                const frame = Buffer.from(encodeFrame(value));
                for (const [at, byte] of changes) {
                    frame[at % frame.length] = byte;
                }
                readWithoutThrowing(frame);
            }),
            { seed, numRuns: 3000 },
        );
    });

    const hostile: Array<{ name: string; body: Buffer; }> = [
        { name: "an array of 2^32 items", body: Buffer.from("9affffffff", "hex") },
        { name: "an array of 2^64 items", body: Buffer.from("9bffffffffffffffff", "hex") },
        { name: "a map of 2^28 items", body: Buffer.from("ba0fffffff", "hex") },
        { name: "a string of 2^31 bytes", body: Buffer.from("7a7fffffff", "hex") },
        { name: "arrays nested without end", body: Buffer.alloc(limit, 0x81) },
        { name: "a definition of records", body: Buffer.from("d9dfff8319e000810181", "hex") },
        { name: "a reference to a shared value", body: Buffer.from("d81d00", "hex") },
        { name: "an empty body", body: Buffer.alloc(0) },
        { name: "two values in one frame", body: Buffer.from("0101", "hex") },
    ];
    for (const { name, body } of hostile) {
        it(`refuses ${name}`, () => {
            expect(createFrameReader(limit).push(frameOf(body))).to.deep.include({ ok: false });
            expectOthersUnharmed();
        });
    }

    it("gives no value a foreign prototype", () => {
        const body = Buffer.from("a1695f5f70726f746f5f5fa1616101", "hex");
        const result = createFrameReader(limit).push(frameOf(body));
        expect(result.ok && Object.getPrototypeOf(result.values[0])).to.equal(Object.prototype);
        expect(({} as { a?: unknown; }).a).to.equal(undefined);
    });

    it("refuses a frame over the limit before its bytes arrive", () => {
        const length = Buffer.alloc(4);
        length.writeUInt32BE(limit + 1);
        expect(createFrameReader(limit).push(length)).to.have.nested.property("err.kind", "frame-too-large");
    });

    it("reads the same values however the bytes are cut", () => {
        fc.assert(
            fc.property(fc.array(fc.jsonValue(), { maxLength: 5 }), fc.array(fc.integer({ min: 1, max: 9 })), (values, cuts) => {
                const bytes = Buffer.concat(values.map(value => encodeFrame(value)));
                const reader = createFrameReader(limit);
                const read: unknown[] = [];
                let start = 0;
                for (let index = 0; start < bytes.length; index += 1) {
                    const end = start + (cuts[index] ?? bytes.length);
                    const result = reader.push(bytes.subarray(start, end));
                    read.push(...result.ok ? result.values : ["refused"]);
                    start = end;
                }
                expect(JSON.stringify(read)).to.equal(JSON.stringify(values));
            }),
            { seed, numRuns: 500 },
        );
    });

    it("deflates long values, and reads them in parts", () => {
        const rows = Array.from(
            { length: 350 },
            (_, index) => ({ name: `route-${index}`, hostName: "a.example", timeoutMs: 1000 }),
        );
        const frame = encodeCompactFrame(rows);
        expect(frame.length).to.be.below(encodeFrame(rows).length / 4);
        const reader = createFrameReader();
        expect(reader.push(frame.subarray(0, 100))).to.deep.equal({ ok: true, values: [] });
        expect(reader.isAmidFrame()).to.equal(true);
        expect(reader.push(frame.subarray(100))).to.deep.equal({ ok: true, values: [rows] });
        expect(reader.isAmidFrame()).to.equal(false);
    });

    it("refuses a deflated value that grows beyond the limit", () => {
        const deflated = deflateRawSync(Buffer.alloc(10 * limit));
        const frame = Buffer.concat([Buffer.alloc(4), deflated]);
        frame.writeUInt32BE(0x8000_0000 + deflated.length, 0);
        expect(createFrameReader(limit).push(frame).ok).to.equal(false);
    });
});
