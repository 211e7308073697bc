import { expect } from "chai";
import fc from "fast-check";
import { PassThrough } from "node:stream";
import { createByteCollector } from "../lib/byte-collector.js";
import type { ByteCollector } from "../lib/byte-collector.js";
import { collectBytes } from "../lib/collect-bytes.js";
import { createFrameReader, encodeFrame } from "../lib/frame-codec.js";

const seed = 60;
/** What is held may be this many times the bytes, and one block more. */
const maxHeldRatio = 3;
const minBlockBytes = 1024;
/** Memory of one buffer beside its content, in bytes. */
const bufferOverheadBytes = 540;

const pieceOf = (bytes: number, from: number): Buffer =>
    Buffer.from(Array.from({ length: bytes }, (_, index) => (from + index) % 251));

const pushAll = (collector: ByteCollector, sizes: readonly number[]): Buffer => {
    const pieces = sizes.map((size, index) => pieceOf(size, index * 7));
    pieces.forEach(piece => collector.push(piece));
    return Buffer.concat(pieces);
};

const sizesOfBodies = fc.array(fc.oneof(fc.integer({ min: 0, max: 4 }), fc.integer({ min: 0, max: 3000 })), { maxLength: 400 });

describe("a collector of bytes", () => {
    // Guards against bodies in short pieces that take hundreds of times their length in memory.
    it("holds memory in proportion to the bytes, however they are cut", () => {
        fc.assert(
            fc.property(sizesOfBodies, sizes => {
                const collector = createByteCollector();
                const bytes = pushAll(collector, sizes);
                const held = collector.heldBytes() + bufferOverheadBytes * collector.heldBuffers();
                expect(held).to.be.at.most(maxHeldRatio * bytes.length + minBlockBytes + bufferOverheadBytes);
                expect(collector.length()).to.equal(bytes.length);
                expect(collector.take().equals(bytes)).to.equal(true);
                expect([collector.length(), collector.heldBytes(), collector.heldBuffers()]).to.deep.equal([0, 0, 0]);
            }),
            { seed },
        );
    });

    const cases: { name: string; sizes: number[]; mostBuffers: number; }[] = [
        { name: "nothing", sizes: [], mostBuffers: 0 },
        { name: "one short piece", sizes: [5], mostBuffers: 1 },
        { name: "one long piece", sizes: [300_000], mostBuffers: 1 },
        { name: "300,000 pieces of one byte", sizes: Array<number>(300_000).fill(1), mostBuffers: 13 },
        { name: "long pieces with one byte between them", sizes: [5000, 1, 5000, 1, 5000, 1], mostBuffers: 6 },
        { name: "empty pieces", sizes: [0, 0, 3, 0], mostBuffers: 1 },
    ];
    for (const { name, sizes, mostBuffers } of cases) {
        it(`returns what it was given as few buffers: ${name}`, () => {
            const collector = createByteCollector();
            const bytes = pushAll(collector, sizes);
            expect(collector.heldBuffers()).to.be.at.most(mostBuffers);
            expect(collector.take().equals(bytes)).to.equal(true);
        });
    }

    it("keeps no long buffer for a short part of it", () => {
        const collector = createByteCollector();
        const long = Buffer.alloc(65_536);
        collector.push(long.subarray(10, 12));
        expect(collector.heldBytes()).to.be.at.most(minBlockBytes);
        expect(collector.take().buffer).to.not.equal(long.buffer);
    });

    it("collects again after it has been emptied", () => {
        const collector = createByteCollector();
        const first = pushAll(collector, [1, 2, 3]);
        const firstTaken = collector.take();
        const second = pushAll(collector, [4, 5, 6]);
        expect(collector.take().equals(second)).to.equal(true);
        expect(firstTaken.equals(first)).to.equal(true);
    });
});

describe("the body of an HTTP message", () => {
    const cases: { name: string; sizes: number[]; maxBytes: number; isTooLong?: boolean; }[] = [
        { name: "short pieces", sizes: Array<number>(100).fill(1), maxBytes: 100 },
        { name: "nothing", sizes: [], maxBytes: 0 },
        { name: "one byte too many", sizes: Array<number>(101).fill(1), maxBytes: 100, isTooLong: true },
    ];
    for (const { name, sizes, maxBytes, isTooLong = false } of cases) {
        it(`is read up to its limit: ${name}`, async () => {
            const source = new PassThrough();
            const body = collectBytes(source, { maxBytes });
            sizes.forEach((size, index) => source.write(pieceOf(size, index)));
            source.end();
            expect((await body)?.length).to.equal(isTooLong ? undefined : sizes.length);
        });
    }

    it("is not taken for a whole one if it ends early", async () => {
        const source = new PassThrough();
        const body = collectBytes(source, { maxBytes: 100 });
        source.write("abc");
        source.destroy();
        expect(await body.catch((err: unknown) => (err as Error).message)).to.equal("The body ended early.");
    });
});

describe("a frame that arrives one byte at a time", () => {
    it("is decoded like one that arrives whole", () => {
        const values = [{ a: "x".repeat(5000) }, [1, 2, 3], "y".repeat(70_000)];
        const reader = createFrameReader();
        const received: unknown[] = [];
        for (const byte of Buffer.concat(values.map(encodeFrame))) {
            const result = reader.push(Buffer.of(byte));
            received.push(...(result.ok ? result.values : [result.err]));
        }
        expect(received).to.deep.equal(values);
        expect(reader.hasPartialFrame()).to.equal(false);
    });
});
