import { expect } from "chai";
import { playQuotas, startMs } from "./quota-scenario.js";
import type { QuotaScenario } from "./quota-scenario.js";

const seed = 37;
const hot = (workspace: number, factor: number) => (index: number, atMs: number): number =>
    index === workspace && atMs >= 10_000 && atMs < 15_000 ? factor : 1;
/** All large workspaces and one small one are hot, one after the other, so that faults meet a hot one. */
const hotAll = (index: number, atMs: number): number => index % 3 === 0 && atMs >= 8000 && atMs < 18_000 ? 6 : 1;

const cases: Record<string, Omit<QuotaScenario, "hosts" | "seed" | "scheme">> = {
    "steady, uneven load": {},
    "a large workspace sends 7 times its usual for 5 s": { factor: hot(0, 7) },
    "a small workspace sends 7 times its usual for 5 s": { factor: hot(20, 7) },
    "many workspaces send 6 times their usual for 10 s": { factor: hotAll },
    "most hosts are in one zone": { firstZoneShare: 0.6, factor: hot(1, 7) },
    "workspaces live in one or two zones": { isClustered: true, factor: hot(2, 7) },
    "quotas are lowered and raised": {
        factor: hot(0, 7),
        quotaFactor: (index, atMs) => atMs < 8000 || atMs >= 16_000 ? 1 : index % 2 === 0 ? 0.5 : 2,
        quotaChangesMs: [8000, 16_000],
    },
    "a state host is killed and comes back": {
        factor: hot(0, 7),
        faults: fleet => [{ atMs: 11_000, run: () => fleet.killState(3, startMs + 16_000) }],
    },
    "the leader is killed and comes back": {
        factor: hotAll,
        faults: fleet => [{ atMs: 11_000, run: () => fleet.killState(0, startMs + 16_000) }],
    },
    "a state host is lost for good": {
        factor: hot(0, 7),
        faults: fleet => [{ atMs: 9000, run: () => fleet.killState(2, Infinity) }],
    },
    "a state host freezes while many are hot": {
        factor: hotAll,
        faults: fleet => [{ atMs: 11_000, run: () => fleet.freezeState(4, startMs + 18_000) }],
    },
    "a zone is cut off while many are hot": {
        factor: hotAll,
        faults: fleet => [{ atMs: 10_000, run: () => fleet.cutZone(5, startMs + 18_000) }],
    },
    "a zone is cut off for long": { faults: fleet => [{ atMs: 5000, run: () => fleet.cutZone(1, startMs + 12_000) }] },
    "0.55 of the hosts are killed": {
        factor: hotAll,
        faults: (_fleet, killHosts) => [{ atMs: 11_000, run: () => killHosts(0.55, startMs + 12_500) }],
    },
};

/** Limits by the issue: no window over the rule's, and at least 0.97 of what is allowed is served. */
const minServedPart = 0.97;

describe("quotas over a fleet", function () {
    this.timeout(120_000);
    for (const hosts of [36, 110, 290]) {
        for (const [name, scenario] of Object.entries(cases)) {
            it(`${hosts} hosts, seed ${seed}: ${name}`, () => {
                const result = playQuotas({ ...scenario, hosts, seed, scheme: "shares" });
                if (process.env.QUOTA_FIGURES === "1") {
                    console.log(JSON.stringify(result));
                }
                expect(result.worstWindow, result.worst).to.be.at.most(1);
                expect(result.servedPart).to.be.at.least(minServedPart);
            });
        }
    }
});

describe("quotas that hosts keep by themselves", () => {
    const naiveCases: Record<string, { scheme: QuotaScenario["scheme"]; keepsWindows: boolean; servesEnough: boolean; }> = {
        "a static part for each host refuses what is allowed": { scheme: "static", keepsWindows: true, servesEnough: false },
        "the whole quota in each host serves too much": { scheme: "by-host", keepsWindows: false, servesEnough: true },
    };
    for (const [name, { scheme, keepsWindows, servesEnough }] of Object.entries(naiveCases)) {
        it(`110 hosts, seed ${seed}: ${name}`, () => {
            const { servedPart, worstWindow } = playQuotas({ factor: hot(0, 7), hosts: 110, seed, scheme });
            expect(worstWindow <= 1).to.equal(keepsWindows);
            expect(servedPart >= minServedPart).to.equal(servesEnough);
        });
    }
});

describe("messages about quotas", function () {
    this.timeout(120_000);
    it(`36, 110 and 290 hosts, seed ${seed}: don't grow for each host with the fleet`, () => {
        const counts = [36, 110, 290].map(hosts => {
            const { zoneBytes, zoneMessages, hostMessages } = playQuotas({ hosts, seed, scheme: "shares" });
            return [zoneBytes, zoneMessages, hostMessages].map(count => count / hosts);
        });
        const [smallest] = counts;
        for (const perHost of counts) {
            perHost.forEach((count, index) => expect(count).to.be.at.most(1.1 * smallest![index]!));
        }
    });
});
