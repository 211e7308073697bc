/** Proof: an accepted configuration is never lost, never reverts, and each race has one winner. */
import { createRandom, StateReplyKind, StateRequestKind } from "@cassiapick/core";
import type { Random } from "@cassiapick/core";
import { createConfigChecker } from "./config-checker.js";
import type { ConfigChecker } from "./config-checker.js";
import { createCluster, soundLinks } from "./config-cluster.js";
import type { Cluster, LinkFaults, Strikes } from "./config-cluster.js";
import { createNaiveDisk, createOwnDisk } from "./config-contender.js";
import type { CreateDisk } from "./config-contender.js";
import { startFaults } from "./config-faults.js";
import { startOperator } from "./config-operators.js";
import type { Proof } from "./proof.js";
import { createTimeline } from "./timeline.js";

const cases = 60;
const maxSeed = 2 ** 31;
const faultsEndMs = 4000;
/** The longest a paused, cut or crashed host stays so after the last fault began. */
const outagesEndMs = faultsEndMs + 1000;
const settleMs = 2000;
/** How often crashed hosts are started again, whatever crashed them. */
const restartMs = 300;
const operators = 3;
const maxNotes = 3;

interface CasePlan {
    seed: number;
    hosts: number;
    snapshotEvery: number;
    faults: LinkFaults;
}

const drawPlan = (random: Random): CasePlan => ({
    seed: random.below(maxSeed),
    hosts: random.next() < 0.7 ? 3 : 5,
    snapshotEvery: 3 + random.below(20),
    faults: {
        lost: random.next() * 0.08,
        repeated: random.next() * 0.2,
        detour: random.next() * 0.06,
        maxDelayMs: 1 + random.next() * 8,
        crashInStep: random.next() * 0.001,
    },
});

const restartCrashed = (cluster: Cluster, clock: { after(delayMs: number, run: () => void): void; now(): number; }): void => {
    for (const hostId of cluster.hostIds) {
        cluster.start(hostId);
    }
    if (clock.now() < outagesEndMs) {
        clock.after(restartMs, () => restartCrashed(cluster, clock));
    }
};

/** Asks every host after all faults have ended. */
const checkEnd = (cluster: Cluster, checker: ConfigChecker, run: (untilMs: number) => void): void => {
    let answered = 0;
    const latest = checker.latestKnown();
    for (const hostId of cluster.hostIds) {
        cluster.request(hostId, { kind: StateRequestKind.Read }, reply => {
            if (reply.kind === StateReplyKind.Tables) {
                answered += 1;
                checker.read(reply.versioned, latest);
            }
        });
    }
    run(outagesEndMs + settleMs + 1000);
    if (answered < cluster.hostIds.length) {
        checker.violate(`Only ${answered} of ${cluster.hostIds.length} hosts answered a read after all faults had ended.`);
    }
    for (const hostId of cluster.hostIds) {
        cluster.request(hostId, { kind: StateRequestKind.History, limit: 1000 }, reply => {
            if (reply.kind === StateReplyKind.History) {
                checker.ended(reply.entries);
            }
        });
    }
    run(outagesEndMs + settleMs + 2000);
};

interface CaseResult {
    violations: readonly string[];
    accepted: number;
    strikes: Strikes;
}

const runCase = (plan: CasePlan, createDisk: CreateDisk): CaseResult => {
    const clock = createTimeline();
    const random = createRandom(plan.seed);
    const checker = createConfigChecker();
    const cluster = createCluster({ ...plan, createDisk, clock, random: createRandom(random.below(maxSeed)) });
    startFaults({ cluster, clock, random: createRandom(random.below(maxSeed)), untilMs: faultsEndMs });
    for (let index = 0; index < operators; index += 1) {
        const own = createRandom(random.below(maxSeed));
        startOperator(`operator-${index}`, { cluster, clock, random: own, checker, untilMs: faultsEndMs });
    }
    restartCrashed(cluster, clock);
    clock.run(outagesEndMs);
    cluster.setFaults(soundLinks);
    clock.run(outagesEndMs + settleMs);
    checkEnd(cluster, checker, untilMs => clock.run(untilMs));
    return { violations: checker.violations(), accepted: checker.acceptedCount(), strikes: cluster.struck() };
};

/** Runs the proof of the configuration. */
export const proveConfig: Proof = options => {
    const random = createRandom(options.seed);
    const notes: string[] = [];
    let naiveViolated = 0;
    let ownViolated = 0;
    let accepted = 0;
    let crashes = 0;
    let lostDisks = 0;
    for (let index = 0; index < cases; index += 1) {
        const plan = drawPlan(random);
        const own = runCase(plan, createOwnDisk);
        naiveViolated += runCase(plan, createNaiveDisk).violations.length > 0 ? 1 : 0;
        ownViolated += own.violations.length > 0 ? 1 : 0;
        accepted += own.accepted;
        crashes += own.strikes.crashes;
        lostDisks += own.strikes.lostDisks;
        if (own.violations.length > 0 && notes.length < maxNotes) {
            notes.push(`case ${index} (seed ${plan.seed}): ${own.violations[0]!}`);
        }
    }
    notes.push(`cassiapick accepted ${accepted} changes through ${crashes} crashes, ${lostDisks} of them with the disk lost`);
    return Promise.resolve({ cases, naiveViolated, ownViolated, notes });
};
