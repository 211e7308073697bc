/** Proof: an accepted configuration is never lost or reverted, and each race has one winner. */
import { createRandom, StateReplyKind, StateRequestKind } from "@cassiapick/core";
import type { Random } from "@cassiapick/core";
import { createConfigChecker } from "./config-checker.js";
import type { ConfigChecker } from "./config-checker.js";
import { createCluster, noLinkFaults } from "./config-cluster.js";
import type { Cluster, FaultCounts, LinkFaults } from "./config-cluster.js";
import { startFaultInjection } from "./config-faults.js";
import { createCassiapickDisk, createNaiveDisk } from "./config-implementations.js";
import type { CreateDisk } from "./config-implementations.js";
import { startOperator } from "./config-operators.js";
import type { Proof } from "./proof.js";
import { createTimeline } from "./timeline.js";

const caseCount = 60;
const maxSeed = 2 ** 31;
const faultsEndMs = 4000;
/** The latest time at which a host resumes or restarts, or a cut link is restored. */
const outagesEndMs = faultsEndMs + 1000;
/** How long the hosts have to converge after all faults have ended. */
const recoveryMs = 2000;
/** The interval at which crashed hosts are restarted, whatever crashed them. */
const restartIntervalMs = 300;
const operatorCount = 3;
const maxNotes = 3;

interface CasePlan {
    seed: number;
    hostCount: number;
    snapshotEvery: number;
    faults: LinkFaults;
}

const drawPlan = (random: Random): CasePlan => ({
    seed: random.below(maxSeed),
    hostCount: random.next() < 0.7 ? 3 : 5,
    snapshotEvery: 3 + random.below(20),
    faults: {
        lossShare: random.next() * 0.08,
        duplicateShare: random.next() * 0.2,
        longDelayShare: random.next() * 0.06,
        maxDelayMs: 1 + random.next() * 8,
        crashShare: random.next() * 0.001,
    },
});

const restartCrashed = (
    cluster: Cluster,
    timeline: { after(delayMs: number, callback: () => void): void; now(): number; },
): void => {
    for (const hostId of cluster.hostIds) {
        cluster.start(hostId);
    }
    if (timeline.now() < outagesEndMs) {
        timeline.after(restartIntervalMs, () => restartCrashed(cluster, timeline));
    }
};

/** Reads from every host after all faults have ended and checks the history. */
const checkFinalState = (cluster: Cluster, checker: ConfigChecker, runUntil: (untilMs: number) => void): void => {
    let answeredCount = 0;
    const latestAtStart = checker.latestKnownIndex();
    for (const hostId of cluster.hostIds) {
        cluster.request(hostId, { kind: StateRequestKind.Read }, reply => {
            if (reply.kind === StateReplyKind.Tables) {
                answeredCount += 1;
                checker.recordRead(reply.versioned, latestAtStart);
            }
        });
    }
    runUntil(outagesEndMs + recoveryMs + 1000);
    if (answeredCount < cluster.hostIds.length) {
        checker.addViolation(
            `Only ${answeredCount} of ${cluster.hostIds.length} hosts answered a read after all faults had ended.`,
        );
    }
    for (const hostId of cluster.hostIds) {
        cluster.request(hostId, { kind: StateRequestKind.History, limit: 1000 }, reply => {
            if (reply.kind === StateReplyKind.History) {
                checker.checkHistory(reply.entries);
            }
        });
    }
    runUntil(outagesEndMs + recoveryMs + 2000);
};

interface CaseResult {
    violations: readonly string[];
    acceptedCount: number;
    faultCounts: FaultCounts;
}

const runCase = (plan: CasePlan, createDisk: CreateDisk): CaseResult => {
    const timeline = createTimeline();
    const random = createRandom(plan.seed);
    const checker = createConfigChecker();
    const cluster = createCluster({ ...plan, createDisk, timeline, random: createRandom(random.below(maxSeed)) });
    startFaultInjection({ cluster, timeline, random: createRandom(random.below(maxSeed)), untilMs: faultsEndMs });
    for (let index = 0; index < operatorCount; index += 1) {
        const operatorRandom = createRandom(random.below(maxSeed));
        startOperator(`operator-${index}`, { cluster, timeline, random: operatorRandom, checker, untilMs: faultsEndMs });
    }
    restartCrashed(cluster, timeline);
    timeline.run(outagesEndMs);
    cluster.setFaults(noLinkFaults);
    timeline.run(outagesEndMs + recoveryMs);
    checkFinalState(cluster, checker, untilMs => timeline.run(untilMs));
    return { violations: checker.violations(), acceptedCount: checker.acceptedCount(), faultCounts: cluster.faultCounts() };
};

/** Runs the proof of the configuration. */
export const proveConfig: Proof = options => {
    const random = createRandom(options.seed);
    const notes: string[] = [];
    let naiveViolations = 0;
    let cassiapickViolations = 0;
    let acceptedCount = 0;
    let crashCount = 0;
    let lostDiskCount = 0;
    for (let index = 0; index < caseCount; index += 1) {
        const plan = drawPlan(random);
        const cassiapick = runCase(plan, createCassiapickDisk);
        naiveViolations += runCase(plan, createNaiveDisk).violations.length > 0 ? 1 : 0;
        cassiapickViolations += cassiapick.violations.length > 0 ? 1 : 0;
        acceptedCount += cassiapick.acceptedCount;
        crashCount += cassiapick.faultCounts.crashes;
        lostDiskCount += cassiapick.faultCounts.lostDisks;
        if (cassiapick.violations.length > 0 && notes.length < maxNotes) {
            notes.push(`case ${index} (seed ${plan.seed}): ${cassiapick.violations[0]!}`);
        }
    }
    notes.push(
        `cassiapick accepted ${acceptedCount} changes through ${crashCount} crashes, ${lostDiskCount} of them with the disk lost`,
    );
    return Promise.resolve({ cases: caseCount, naiveViolations, cassiapickViolations, notes });
};
