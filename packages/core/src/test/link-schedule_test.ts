/**
 * Pattern: several large answers on a narrow link, with small urgent answers between them and callers that stop reading. Without
 * turns, the small answers wait until the link has taken all bytes of the large ones.
 */
import { expect } from "chai";
import { createLinkSchedule } from "../index.js";
import type { Transfer } from "../index.js";

interface Case {
    name: string;
    bytesPerMs: number;
    /** Sizes of the large answers that are ready at the start, in bytes. */
    large: number[];
    /** Large answers whose callers read nothing. */
    unread: number;
}

const largeBytes = 540_000;
const smallBytes = 1500;
const smallIntervalMs = 50;
/** Small answers must not wait behind large ones: a fifth of the shortest latency objective, 800 ms. */
const maxSmallWaitMs = 160;
const minLinkShare = 0.95;

const cases: Case[] = [
    { name: "five large answers at 2 Mbit/s", bytesPerMs: 250, large: Array<number>(5).fill(largeBytes), unread: 0 },
    { name: "ten large answers at 6 Mbit/s", bytesPerMs: 762, large: Array<number>(10).fill(largeBytes), unread: 0 },
    { name: "large answers of many sizes", bytesPerMs: 534, large: [20_000, 90_000, 540_000, 300_000, 60_000], unread: 0 },
    { name: "twenty callers that read nothing", bytesPerMs: 250, large: Array<number>(5).fill(largeBytes), unread: 20 },
];

interface Result {
    longestSmallWaitMs: number;
    largeDoneMs: number;
    /** Bytes that were written to callers which read nothing. */
    unreadBytes: number;
}

/** Plays a link that takes bytes in the order in which they were written. */
const play = ({ bytesPerMs, large, unread }: Case, isNaive: boolean): Result => {
    const schedule = createLinkSchedule({ bytesPerMs });
    const read = new Set<Transfer>();
    const queue: { bytes: number; at: number; transfer?: Transfer; isWholeLarge?: boolean; }[] = [];
    for (let index = 0; index < unread; index += 1) {
        schedule.add({ priority: 0, remainingBytes: largeBytes }, 0);
    }
    for (const remainingBytes of large) {
        const transfer = { priority: 1, remainingBytes };
        read.add(transfer);
        schedule.add(transfer, 0);
    }
    if (isNaive) {
        large.forEach(bytes => queue.push({ bytes, at: 0, isWholeLarge: true }));
    }
    let longestSmallWaitMs = 0;
    let largeDoneMs = 0;
    let unreadBytes = 0;
    let openLarge = large.length;
    for (let now = 0; now < 60_000 && (openLarge > 0 || queue.length > 0); now += 1) {
        if (now % smallIntervalMs === 0 && openLarge > 0) {
            queue.push({ bytes: smallBytes, at: now });
        }
        if (!isNaive) {
            for (let part = schedule.next(now); part !== undefined; part = schedule.next(now)) {
                // A caller that reads nothing never confirms; its part is in the windows of its connection.
                const isRead = read.has(part.transfer);
                unreadBytes += isRead ? 0 : part.bytes;
                queue.push({ bytes: part.bytes, at: now, transfer: isRead ? part.transfer : undefined });
            }
        }
        let room = bytesPerMs;
        while (queue.length > 0 && room > 0) {
            const first = queue[0]!;
            const taken = Math.min(room, first.bytes);
            room -= taken;
            first.bytes -= taken;
            if (first.bytes > 0) {
                break;
            }
            queue.shift();
            if (first.transfer !== undefined) {
                schedule.partTaken(first.transfer, now);
                if (first.transfer.remainingBytes === 0) {
                    schedule.remove(first.transfer);
                    openLarge -= 1;
                    largeDoneMs = now;
                }
            }
            else if (first.isWholeLarge === true) {
                openLarge -= 1;
                largeDoneMs = now;
            }
            else {
                longestSmallWaitMs = Math.max(longestSmallWaitMs, now - first.at);
            }
        }
    }
    return { longestSmallWaitMs, largeDoneMs, unreadBytes };
};

describe("turns of large answers on a link", () => {
    for (const testCase of cases) {
        it(`keep small answers from waiting: ${testCase.name}`, () => {
            const { longestSmallWaitMs } = play(testCase, false);
            expect(longestSmallWaitMs).to.be.at.most(maxSmallWaitMs);
            if (testCase.unread === 0) {
                expect(play(testCase, true).longestSmallWaitMs).to.be.above(maxSmallWaitMs);
            }
        });

        it(`use the link: ${testCase.name}`, () => {
            const smallShare = smallBytes / smallIntervalMs / testCase.bytesPerMs;
            const bytes = testCase.large.reduce((sum, size) => sum + size, 0);
            const { largeDoneMs, unreadBytes } = play(testCase, false);
            const idealMs = (bytes + unreadBytes) / testCase.bytesPerMs / (1 - smallShare);
            expect(idealMs / largeDoneMs).to.be.at.least(minLinkShare);
        });
    }

    it("write whole bytes, and all of them, whatever the rate of the link", () => {
        for (let kbps = 1002; kbps <= 12_000; kbps += 13) {
            const schedule = createLinkSchedule({ bytesPerMs: kbps / 1000 * 125 });
            const transfer: Transfer = { priority: 1, remainingBytes: largeBytes };
            schedule.add(transfer, 0);
            let bytes = 0;
            for (let part = schedule.next(0); part !== undefined; part = schedule.next(0)) {
                expect(Number.isInteger(part.bytes), `${kbps} kbit/s: a part of ${part.bytes} bytes`).to.equal(true);
                bytes += part.bytes;
                schedule.partTaken(transfer, 0);
            }
            expect(bytes).to.equal(largeBytes);
        }
    });

    it("write the most urgent answer first, then the one with the fewest bytes left", () => {
        const schedule = createLinkSchedule({ bytesPerMs: 250 });
        const transfers: Transfer[] = [
            { priority: 2, remainingBytes: 10_000 },
            { priority: 1, remainingBytes: 90_000 },
            { priority: 1, remainingBytes: 8000 },
        ];
        transfers.forEach(transfer => schedule.add(transfer, 0));
        const order: number[] = [];
        for (let now = 0; order.length < 3; now += 1) {
            const part = schedule.next(now);
            if (part !== undefined) {
                order.push(transfers.indexOf(part.transfer));
                schedule.partTaken(part.transfer, now);
                schedule.remove(part.transfer);
            }
        }
        expect(order).to.deep.equal([2, 1, 0]);
    });

    it("serve an answer of low priority beside urgent ones without end", () => {
        const schedule = createLinkSchedule({ bytesPerMs: 250 });
        const patient: Transfer = { priority: 5, remainingBytes: 20_000 };
        schedule.add(patient, 0);
        let doneAt = Infinity;
        const inFlight: { transfer: Transfer; takenAt: number; }[] = [];
        let linkFreeAt = 0;
        for (let now = 0; now < 30_000 && doneAt === Infinity; now += 1) {
            if (now % 2000 === 0) {
                schedule.add({ priority: 0, remainingBytes: largeBytes }, now);
            }
            for (let part = schedule.next(now); part !== undefined; part = schedule.next(now)) {
                linkFreeAt = Math.max(linkFreeAt, now) + part.bytes / 250;
                inFlight.push({ transfer: part.transfer, takenAt: linkFreeAt });
            }
            while (inFlight.length > 0 && inFlight[0]!.takenAt <= now) {
                const { transfer } = inFlight.shift()!;
                schedule.partTaken(transfer, now);
                doneAt = transfer === patient && transfer.remainingBytes === 0 ? now : doneAt;
            }
        }
        // Three parts, each after a second at most.
        expect(doneAt).to.be.at.most(4000);
    });
});
