/** Metrics: quantiles, the rotation of intervals, and the limit of label sets. */
import { expect } from "chai";
import { createMetrics } from "../lib/metrics.js";

const minuteMs = 60_000;

describe("createMetrics", () => {
    const sample = { service: "seat-maps", brandClass: "large", outcome: "completed" };
    const labels = 'service="seat-maps",brand_class="large",outcome="completed"';

    it("renders counts and quantiles", async () => {
        const metrics = createMetrics({ now: () => 0 });
        for (let durationMs = 1; durationMs <= 100; durationMs += 1) {
            metrics.record({ ...sample, durationMs });
        }
        metrics.addGauge("cassiapick_queued", "Queued.", () => 7);
        const text = await metrics.render();
        expect(text).to.include(`cassiapick_requests_total{${labels}} 100\n`);
        expect(text).to.include(`cassiapick_request_duration_seconds{${labels},quantile="0.5"} 0.05\n`);
        expect(text).to.include(`cassiapick_request_duration_seconds{${labels},quantile="1"} 0.1\n`);
        expect(text).to.include("cassiapick_queued 7");
    });

    const rotationCases: Array<{ afterMs: number; isShown: boolean; }> = [
        { afterMs: minuteMs - 1, isShown: true },
        { afterMs: minuteMs, isShown: true },
        { afterMs: 2 * minuteMs - 1, isShown: true },
        { afterMs: 2 * minuteMs, isShown: false },
        { afterMs: 50 * minuteMs, isShown: false },
    ];
    for (const { afterMs, isShown } of rotationCases) {
        it(`${isShown ? "shows" : "drops"} a duration after ${afterMs} ms and keeps its count`, async () => {
            let now = 0;
            const metrics = createMetrics({ now: () => now });
            metrics.record({ ...sample, durationMs: 9 });
            now = afterMs;
            const text = await metrics.render();
            expect(text.includes('quantile="0.5"} 0.009')).to.equal(isShown);
            expect(text).to.include(`cassiapick_requests_total{${labels}} 1\n`);
        });
    }

    it("counts label sets beyond the limit as other and loses no request", async () => {
        const metrics = createMetrics({ now: () => 0, maxSeries: 3 });
        for (let brand = 0; brand < 1000; brand += 1) {
            metrics.record({ service: `s${brand % 7}`, brandClass: `b${brand}`, outcome: `o${brand % 5}`, durationMs: 1 });
        }
        const lines = (await metrics.render()).split("\n").filter(line => line.startsWith("cassiapick_requests_total{"));
        expect(lines.length).to.be.at.most(4);
        expect(lines.reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0)).to.equal(1000);
    });

    it("escapes malicious labels and clamps durations out of range", async () => {
        const metrics = createMetrics({ now: () => 0 });
        for (const durationMs of [-5, 1e12, 0.4]) {
            metrics.record({ service: 'a"} 1\nevil 2', brandClass: "x".repeat(5000), outcome: "completed", durationMs });
        }
        const text = await metrics.render();
        expect(text).not.to.match(/^evil/m);
        expect(text.length).to.be.below(5000);
    });
});
