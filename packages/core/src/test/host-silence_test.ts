/** Load: hosts that lose power while callers connect; nothing closes their connections. */
import { expect } from "chai";
import { createHostSilence, createRandom } from "../index.js";
import type { HostSilence } from "../index.js";

const tickMs = 100;

/** Lets hosts send at ticks, each with the given probability, from 0 until `untilMs`. */
const sendAtTicks = (
    silence: HostSilence,
    hostIds: readonly string[],
    probability: number,
    untilMs: number,
    onTick: (now: number) => void = () => undefined,
): void => {
    const random = createRandom(3);
    for (let now = 0; now <= untilMs; now += tickMs) {
        for (const hostId of hostIds) {
            // An idle host sends a heartbeat after 800 ms without another message, at its next tick.
            if (random.next() < probability || now % (9 * tickMs) === 0) {
                silence.heard(hostId, now);
            }
        }
        onTick(now);
    }
};

const hostIds = Array.from({ length: 15 }, (_, index) => `h${index}`);
const silentHosts = (silence: HostSilence, now: number): string[] => hostIds.filter(hostId => silence.isSilent(hostId, now));

describe("silence of entry hosts", () => {
    const paces = [
        { name: "hosts that send at each tick", probability: 1, withinMs: 700 },
        { name: "hosts with a few requests a second", probability: 0.5, withinMs: 1200 },
        { name: "idle hosts", probability: 0, withinMs: 1300 },
    ];
    for (const { name, probability, withinMs } of paces) {
        it(`is found within ${withinMs} ms of a loss of power, well before the 2,200 ms of their connections: ${name}`, () => {
            const silence = createHostSilence();
            sendAtTicks(silence, hostIds, probability, 9000);
            const others = hostIds.slice(3);
            for (let now = 9000; now <= 9000 + withinMs; now += tickMs) {
                others.forEach(hostId => silence.heard(hostId, now));
            }
            expect(silentHosts(silence, 9000 + withinMs)).to.deep.equal(hostIds.slice(0, 3));
        });

        it(`leaves healthy hosts out of at most one answer in 50: ${name}`, () => {
            const silence = createHostSilence();
            let omitted = 0;
            let answers = 0;
            sendAtTicks(silence, hostIds, probability, 60_000, now => {
                answers += hostIds.length;
                omitted += silentHosts(silence, now + tickMs - 1).length;
            });
            expect(omitted / answers).to.be.at.most(0.02);
        });
    }

    const cases: { name: string; prepare: (silence: HostSilence) => void; now: number; expected: string[]; }[] = [
        {
            name: "begins when a connection closes",
            prepare: silence => silence.lost("h1"),
            now: 1000,
            expected: ["h1"],
        },
        {
            name: "ends when the host is heard again",
            prepare: silence => {
                silence.lost("h1");
                silence.heard("h1", 1000);
            },
            now: 1100,
            expected: [],
        },
        {
            name: "counts for no host if most seem silent, as after a pause of this state host",
            prepare: () => undefined,
            now: 5000,
            expected: [],
        },
        {
            name: "of a closed connection is forgotten once the fleet knows of the departure",
            prepare: silence => {
                silence.lost("h1");
                hostIds.filter(hostId => hostId !== "h1").forEach(hostId => silence.heard(hostId, 8000));
            },
            now: 8100,
            expected: [],
        },
    ];
    for (const { name, prepare, now, expected } of cases) {
        it(name, () => {
            const silence = createHostSilence();
            sendAtTicks(silence, hostIds, 1, 1000);
            prepare(silence);
            expect(silentHosts(silence, now)).to.deep.equal(expected);
        });
    }
});
