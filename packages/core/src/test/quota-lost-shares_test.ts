/**
 * Guards against shares whose message is lost while a later one arrives, as at a link that opens anew: a host that takes the later one
 * for complete confirms shares that it never got, so it hands out nothing for good, or goes on with shares that others have.
 */
import { expect } from "chai";
import { createQuotaDivision, createQuotaKeeper, defaultQuotaBound, quotaAmounts } from "../index.js";
import type { QuotaShares } from "../index.js";

const hostIds = ["leader", "other"];
const amounts = quotaAmounts([{ name: "w", keyDigests: [], ratePerS: 1000, burst: 1000 }], defaultQuotaBound);
const stepMs = 25;
const term = 1;

interface Case {
    name: string;
    /** Whether a message to the other host is lost; `shareMessages` counts those with shares up to now. */
    isLost: (message: QuotaShares, now: number, shareMessages: number) => boolean;
}

const cases: Case[] = [
    { name: "no message is lost", isLost: () => false },
    { name: "all messages of the first 50 ms are lost", isLost: (_message, now) => now <= 50 },
    { name: "all messages of the first 2 s are lost", isLost: (_message, now) => now <= 2000 },
    {
        name: "the first message with shares is lost, and later ones without arrive",
        isLost: ({ r }, _now, shareMessages) => r.length > 0 && shareMessages === 1,
    },
];

describe("shares of a state host", () => {
    for (const { name, isLost } of cases) {
        it(`are what the leader counts when ${name}`, () => {
            let now = 0;
            let shareMessages = 0;
            const keepers = new Map(hostIds.map(hostId => {
                const keeper = createQuotaKeeper({ firstSequence: 1, sendGrant: () => undefined });
                keeper.setQuotas(1, amounts, 0);
                return [hostId, keeper];
            }));
            const sent: { to: string; message: QuotaShares; }[] = [];
            const division = createQuotaDivision({
                hostId: "leader",
                send: (to, message) => sent.push({ to, message }),
                lend: (_workspace, count) => Math.min(1, count),
            });
            division.setQuotas(1, amounts);
            division.setVoters(hostIds, now);
            division.setTerm(term, now);
            for (now = stepMs; now <= 12_000; now += stepMs) {
                // Requests that wait make the host borrow, so that messages without shares follow.
                if (now % 200 === 0) {
                    keepers.get("other")!.ask(1, ["w", 0, 1, 0, 1, 0], now);
                }
                for (const [hostId, keeper] of keepers) {
                    const demand = keeper.demandDue(term, now);
                    if (demand !== undefined) {
                        division.demand(hostId, demand, 0, now);
                    }
                }
                division.tick(0, now);
                for (const { to, message } of sent.splice(0)) {
                    shareMessages += to !== "leader" && message.r.length > 0 ? 1 : 0;
                    if (to === "leader" || !isLost(message, now, shareMessages)) {
                        keepers.get(to)!.setShares(message, now);
                    }
                }
                const sum = [...keepers.values()].reduce((total, keeper) => total + keeper.shareOf("w"), 0);
                expect(sum).to.be.at.most(1);
            }
            expect(keepers.get("other")!.shareOf("w")).to.be.above(0);
        });
    }
});
