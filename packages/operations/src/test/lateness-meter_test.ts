import { expect } from "chai";
import { createEventLog, createLatenessMeter, LogFormat } from "../index.js";

describe("lateness meter", () => {
    const cases: [name: string, tickTimes: number[], longestMs: number, totalMs: number, lines: number][] = [
        ["counts nothing while ticks come in time", [100, 200, 300], 0, 0, 0],
        ["counts a short delay without a line", [150, 250], 50, 50, 0],
        ["logs a long delay once", [100, 900, 1000], 700, 700, 1],
        ["adds delays up", [300, 700, 760], 300, 500, 1],
    ];
    for (const [name, tickTimes, longestMs, totalMs, lines] of cases) {
        it(name, () => {
            let now = 0;
            const written: string[] = [];
            const log = createEventLog({
                program: "test",
                hostId: "h",
                format: LogFormat.Json,
                write: line => written.push(line),
            });
            const meter = createLatenessMeter({ intervalMs: 100, clock: () => now, log });
            for (const time of tickTimes) {
                now = time;
                meter.tick();
            }
            expect(meter.gauges()).to.deep.equal({
                cassiapick_process_late_ms_total: totalMs,
                cassiapick_process_late_ms_longest: longestMs,
            });
            expect(written).to.have.length(lines);
        });
    }
});
