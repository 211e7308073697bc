import { AttemptOutcome, createHostRetryBudget, createRandom } from "@cassiapick/core";
import { expect } from "chai";
import { createGatewayMetrics } from "../lib/gateway-metrics.js";
import { createHostCount } from "../lib/host-count.js";
import { createRequestRetries } from "../lib/request-retries.js";
import type { RetryReason } from "../lib/request-retries.js";

const bound = { ratio: 0, reserve: 20, windowMs: 10_000 };
const service = "quotes";

/** Guards against retries beyond the fleet's bound that no metric shows. */
describe("the retries of a request", () => {
    const cases: { name: string; reasons: (RetryReason | undefined)[]; counted: string[]; denied: number; }[] = [
        { name: "count nothing for a first attempt", reasons: [undefined], counted: [], denied: 0 },
        {
            name: "are counted by reason",
            reasons: [undefined, AttemptOutcome.Declined, "hedge"],
            counted: ["declined", "hedge"],
            denied: 0,
        },
        {
            name: "count what the budget denies",
            reasons: [undefined, ...Array<RetryReason>(21).fill(AttemptOutcome.Declined)],
            counted: ["declined"],
            denied: 1,
        },
    ];
    for (const { name, reasons, counted, denied } of cases) {
        it(name, () => {
            const retryBudget = createHostRetryBudget(bound, -bound.windowMs, createRandom(1));
            retryBudget.setHostCount(1);
            const metrics = createGatewayMetrics();
            const retries = createRequestRetries({ retryBudget, service, clock: () => 0, metrics });
            for (const reason of reasons) {
                const isGranted = reason === "hedge" ? retries.tryTakeHedge() : reason === undefined || retries.tryTakeRetry();
                if (isGranted) {
                    retries.attemptStarted(reason);
                }
            }
            const text = metrics.render({});
            const countedReasons = [...text.matchAll(/cassiapick_retries_total\{service="quotes",reason="([^"]*)"\}/gu)];
            expect(countedReasons.map(match => match[1])).to.deep.equal(counted);
            expect(text.includes(`cassiapick_retries_denied_total{service="${service}"} ${denied}`)).to.equal(denied > 0);
            expect(retries.isDenied()).to.equal(denied > 0);
        });
    }

    it("are returned if they are not sent", () => {
        const retryBudget = createHostRetryBudget({ ...bound, reserve: 1 }, -bound.windowMs, createRandom(1));
        retryBudget.setHostCount(1);
        const metrics = createGatewayMetrics();
        const retries = createRequestRetries({ retryBudget, service, clock: () => 0, metrics });
        expect([retries.tryTakeRetry(), retries.tryTakeRetry()]).to.deep.equal([true, false]);
        retries.close();
        expect(retries.tryTakeRetry()).to.equal(true);
    });
});

/** Guards against a part of the reserve that is too large, as a state host that has just started knows a part of the hosts only. */
describe("the number of entry hosts", () => {
    const cases = [
        { name: "counts once a fresh view comes with it", isFresh: [true], named: [91], confirmed: 91 },
        { name: "does not count while the view is old", isFresh: [false], named: [3], confirmed: 0 },
        { name: "counts when the view becomes fresh", isFresh: [false, true], named: [3, 91], confirmed: 91 },
    ];
    for (const { name, isFresh, named, confirmed } of cases) {
        it(name, () => {
            let isViewFresh = false;
            const counts: number[] = [];
            const hostCount = createHostCount({
                retryBudget: { setHostCount: count => counts.push(count) },
                retryBound: bound,
                isViewFresh: () => isViewFresh,
                log: { log: () => undefined },
            });
            named.forEach((count, index) => {
                isViewFresh = isFresh[index]!;
                hostCount.named(count);
                hostCount.confirm();
            });
            expect([hostCount.confirmed(), ...counts]).to.deep.equal(confirmed === 0 ? [0] : [confirmed, confirmed]);
        });
    }
});
