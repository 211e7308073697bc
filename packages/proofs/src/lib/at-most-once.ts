/** Proof: a request with an idempotency key runs at most once, and every answer about it is true. */
import { createNaiveClaimNode } from "@cassiapick/baseline";
import { createClaimNode, createRandom } from "@cassiapick/core";
import { createCallers } from "./at-most-once-callers.js";
import { createAtMostOnceChecker } from "./at-most-once-checker.js";
import type { AtMostOnceChecker } from "./at-most-once-checker.js";
import { createSimulatedFleet } from "./at-most-once-fleet.js";
import type { CreateClaimNode, SimulatedFleet } from "./at-most-once-fleet.js";
import { callersActiveMs, drawPlan, FaultMix } from "./at-most-once-plan.js";
import type { Proof } from "./proof.js";
import { createTimeline } from "./timeline.js";

/** The number of cases of each combination of faults. */
const casesPerMix: Record<FaultMix, number> = {
    [FaultMix.NoFaults]: 2,
    [FaultMix.OneRestartAtATime]: 4,
    [FaultMix.AllFaults]: 5,
    [FaultMix.RosterChanges]: 5,
    [FaultMix.HorizonEdge]: 4,
    [FaultMix.QuickRestarts]: 6,
    [FaultMix.SmallRosters]: 6,
};
/** After the callers have stopped, paused processes and delayed messages get this long to finish. */
const drainMs = 8000;
const maxShownViolations = 5;

const runCase = (mix: FaultMix, caseSeed: number, createNode: CreateClaimNode): AtMostOnceChecker => {
    const plan = drawPlan(mix, createRandom(caseSeed));
    const random = createRandom(caseSeed + 1);
    const timeline = createTimeline();
    const checker = createAtMostOnceChecker();
    const created: { fleet?: SimulatedFleet; } = {};
    const callers = createCallers({ plan, timeline, random, checker, fleet: () => created.fleet! });
    created.fleet = createSimulatedFleet({
        plan,
        timeline,
        random,
        createClaimNode: createNode,
        onAction: (action, hostId) => callers.handleAction(action, hostId),
    });
    callers.start();
    timeline.run(callersActiveMs + drainMs);
    return checker;
};

/** Runs the proof of at most once. */
export const proveAtMostOnce: Proof = ({ seed }) => {
    const random = createRandom(seed);
    const result = { cases: 0, naiveViolations: 0, cassiapickViolations: 0, notes: [] as string[] };
    const violationNotes: string[] = [];
    for (const mix of Object.values(FaultMix)) {
        let grantedCount = 0;
        let replayedCount = 0;
        let refusedCount = 0;
        for (let index = 0; index < casesPerMix[mix]; index += 1) {
            const caseSeed = random.below(2 ** 30);
            const cassiapick = runCase(mix, caseSeed, createClaimNode);
            const naive = runCase(mix, caseSeed, createNaiveClaimNode);
            result.cases += 1;
            result.cassiapickViolations += cassiapick.violations.length > 0 ? 1 : 0;
            result.naiveViolations += naive.violations.length > 0 ? 1 : 0;
            grantedCount += cassiapick.grantedCount;
            replayedCount += cassiapick.replayedCount;
            refusedCount += cassiapick.refusedCount;
            violationNotes.push(...cassiapick.violations.map(violation => `${mix}, case ${caseSeed}: ${violation}`));
        }
        result.notes.push(`${mix}: ${grantedCount} granted, ${replayedCount} replayed, ${refusedCount} refused`);
    }
    result.notes.push(...violationNotes.slice(0, maxShownViolations));
    return Promise.resolve(result);
};
