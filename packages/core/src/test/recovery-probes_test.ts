/** Load: many hosts of one availability zone share idle servers that fail whatever they get, and learn of failures late. */
import { expect } from "chai";
import { createRandom } from "../index.js";
import { createRecoveryProbes, defaultRecoveryProbesCfg } from "../lib/gateway/recovery-probes.js";
import type { RecoveryProbesCfg } from "../lib/gateway/recovery-probes.js";

/** All hosts see the server become due at the same time, and each interval is as long as the first. */
const naiveCfg: RecoveryProbesCfg = {
    ...defaultRecoveryProbesCfg,
    firstDelayMs: 2500,
    backoff: 1,
    longestDegradedDelayMs: 2500,
    spreadMs: 0,
};

interface Herd {
    hosts: number;
    /** Requests of the service that each host gets in a second. */
    requestsPerS: number;
    /** Until all hosts of the zone know of a failure. */
    reportMs: number;
    isDegraded: boolean;
    durationMs: number;
}

const stepMs = 5;

/** Returns the times of the requests that one server in a spell loses to probes, after a first failure at 0. */
const playSpell = (herd: Herd, cfg: RecoveryProbesCfg, seed: number): number[] => {
    const random = createRandom(seed);
    const hosts = Array.from({ length: herd.hosts }, () => {
        const probes = createRecoveryProbes(random, cfg);
        probes.failed(0);
        return { probes, history: { lastUsedAt: 0, lastFailureAt: 0 } };
    });
    const lostAt: number[] = [];
    const pending: { at: number; knownAt: number; by: number; }[] = [];
    for (let now = stepMs; now <= herd.durationMs; now += stepMs) {
        for (const { at } of pending.filter(({ knownAt }) => knownAt === now)) {
            hosts.forEach(({ probes, history }) => {
                history.lastUsedAt = Math.max(history.lastUsedAt, at);
                history.lastFailureAt = Math.max(history.lastFailureAt, at);
                probes.failed(now);
            });
        }
        hosts.forEach(({ probes, history }, by) => {
            const hasRequest = random.next() < herd.requestsPerS * stepMs / 1000;
            if (
                hasRequest && !pending.some(probe => probe.by === by && probe.knownAt > now)
                && probes.isDue(history, herd.isDegraded, now)
            ) {
                lostAt.push(now);
                pending.push({ at: now, knownAt: now + herd.reportMs, by });
            }
        });
    }
    return lostAt;
};

const seeds = Array.from({ length: 30 }, (_, index) => index + 1);
const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Probes that follow each other sooner than a server is given to recover belong to one round. */
const roundsOf = (times: readonly number[]): number =>
    times.filter((time, index) => index === 0 || time - times[index - 1]! > 1000).length;

describe("probes of idle servers", () => {
    const herds: { name: string; herd: Herd; }[] = [
        { name: "15 hosts", herd: { hosts: 15, requestsPerS: 3.6, reportMs: 50, isDegraded: true, durationMs: 9000 } },
        {
            name: "15 hosts, late reports",
            herd: { hosts: 15, requestsPerS: 3.6, reportMs: 100, isDegraded: true, durationMs: 9000 },
        },
        { name: "30 hosts", herd: { hosts: 30, requestsPerS: 3.6, reportMs: 50, isDegraded: true, durationMs: 9000 } },
        { name: "6 hosts", herd: { hosts: 6, requestsPerS: 1.5, reportMs: 50, isDegraded: true, durationMs: 9000 } },
        {
            name: "15 hosts, calm service",
            herd: { hosts: 15, requestsPerS: 3.6, reportMs: 50, isDegraded: false, durationMs: 9000 },
        },
    ];
    for (const { name, herd } of herds) {
        it(`lose at most one request beyond the first of a round, on average, and fewer than with equal delays: ${name}`, () => {
            const runs = seeds.map(seed => playSpell(herd, defaultRecoveryProbesCfg, seed));
            const naive = seeds.map(seed => playSpell(herd, naiveCfg, seed));
            expect(mean(runs.map(times => times.length / roundsOf(times)))).to.be.at.most(2);
            expect(mean(runs.map(times => times.length))).to.be.below(mean(naive.map(times => times.length)));
        });
    }

    it("reach a server of a degraded service within 4 s of its latest failure", () => {
        for (const { name, herd } of herds.filter(({ herd }) => herd.isDegraded)) {
            for (const seed of seeds) {
                const times = [0, ...playSpell({ ...herd, durationMs: 20_000 }, defaultRecoveryProbesCfg, seed)];
                const longestGapMs = Math.max(...times.slice(1).map((time, index) => time - times[index]!));
                expect(longestGapMs, `${name}, seed ${seed}`).to.be.below(4000);
            }
        }
    });

    it("become rarer while they fail, and are frequent again after a success", () => {
        const probes = createRecoveryProbes(createRandom(1), { ...defaultRecoveryProbesCfg, spreadMs: 0 });
        const isDueAfter = (failedAt: number, afterMs: number): boolean =>
            probes.isDue({ lastUsedAt: failedAt, lastFailureAt: failedAt }, false, failedAt + afterMs);
        probes.failed(0);
        expect(isDueAfter(0, 2300)).to.equal(true);
        probes.failed(2300);
        expect(isDueAfter(2300, 2300)).to.equal(false);
        expect(isDueAfter(2300, 3400)).to.equal(true);
        probes.succeeded();
        probes.failed(10_000);
        expect(isDueAfter(10_000, 2300)).to.equal(true);
    });
});
