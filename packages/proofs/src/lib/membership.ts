/** Proof: after all link faults have ended, every live host lists exactly the live hosts as alive within a time limit. */
import { createNaiveMembership } from "@cassiapick/baseline";
import { createMembership, createRandom, HostState, MembershipActionKind, MembershipEventKind } from "@cassiapick/core";
import type { HostInfo, Membership, MembershipAction, Random } from "@cassiapick/core";
import { createFailingLinks } from "./failing-links.js";
import type { Proof } from "./proof.js";

const caseCount = 30;
const tickMs = 25;
const heartbeatMs = 400;
/** Links fail, and hosts are killed or restarted, only within this time. */
const faultsMs = 10_000;
/** After the faults, memberships must be correct within this time: some rounds of digests, which are sent every 4 s. */
const convergenceMs = 40_000;
const failingShare = 0.35;

interface MembershipCase {
    seed: number;
    hostCount: number;
    /** The hosts that are killed, and when, in milliseconds. */
    kills: { index: number; at: number; }[];
    /** The host whose process restarts with a higher incarnation, and when, in milliseconds. */
    restart: { index: number; at: number; };
}

const drawCase = (random: Random): MembershipCase => {
    const hostCount = 4 + random.below(6);
    const killedIndex = random.below(hostCount);
    return {
        seed: random.below(1_000_000),
        hostCount,
        kills: random.next() < 0.6 ? [{ index: killedIndex, at: random.below(faultsMs) }] : [],
        restart: { index: (killedIndex + 1) % hostCount, at: random.below(faultsMs) },
    };
};

const hostInfo = (index: number): HostInfo => ({
    hostId: `host-${index}`,
    region: "r",
    availabilityZone: "z",
    fleetHost: "127.0.0.1",
    fleetPort: index,
    callerHost: "127.0.0.1",
    callerPort: index,
    adminHost: "127.0.0.1",
    adminPort: index,
});

const indexOf = (hostId: string): number => Number(hostId.slice("host-".length));

const runCase = (testCase: MembershipCase): { naive: boolean; cassiapick: boolean; message: string; } => {
    const hostInfos = Array.from({ length: testCase.hostCount }, (_, index) => hostInfo(index));
    const createHostMembership = (index: number, incarnation: number): Membership =>
        createMembership({
            self: hostInfos[index]!,
            incarnation,
            seeds: hostInfos,
            random: createRandom(testCase.seed + index * 1000 + incarnation),
        });
    const memberships = hostInfos.map((_, index) => createHostMembership(index, 1));
    const naiveMemberships = hostInfos.map(self =>
        createNaiveMembership(hostInfos.filter(other => other !== self).map(other => other.hostId))
    );
    const links = createFailingLinks({ random: createRandom(testCase.seed), durationMs: faultsMs / 2, failingShare });
    let now = 0;

    const isKilled = (index: number): boolean => testCase.kills.some(kill => kill.index === index && now >= kill.at);

    const runActions = (index: number, actions: MembershipAction[]): void => {
        for (const action of actions) {
            if (action.kind === MembershipActionKind.Send) {
                const to = indexOf(action.toHostId);
                links.send(`host-${index}`, action.toHostId, now, () => {
                    if (!isKilled(to)) {
                        const message = {
                            kind: MembershipEventKind.Message as const,
                            fromHostId: `host-${index}`,
                            message: action.message,
                        };
                        runActions(to, memberships[to]!.step(message, now));
                    }
                });
            }
        }
    };

    const sendHeartbeats = (index: number): void => {
        for (let to = 0; to < testCase.hostCount; to += 1) {
            if (to !== index) {
                links.send(`host-${index}`, `host-${to}`, now, () => naiveMemberships[to]!.recordHeartbeat(`host-${index}`, now));
            }
        }
    };

    for (; now < faultsMs + convergenceMs; now += tickMs) {
        links.deliverDue(now);
        if (now === testCase.restart.at - testCase.restart.at % tickMs) {
            memberships[testCase.restart.index] = createHostMembership(testCase.restart.index, 2);
        }
        for (let index = 0; index < testCase.hostCount; index += 1) {
            if (isKilled(index)) {
                continue;
            }
            runActions(index, memberships[index]!.step({ kind: MembershipEventKind.Tick }, now));
            if (now % heartbeatMs === 0) {
                sendHeartbeats(index);
            }
            naiveMemberships[index]!.alive(now);
        }
    }

    const liveIndexes = hostInfos.map((_, index) => index).filter(index => !isKilled(index));
    const expectedAlive = liveIndexes.map(index => `host-${index}`).sort().join();
    const wrongIndexes = liveIndexes.filter(index => {
        const aliveIds = memberships[index]!.records().filter(record => record.state === HostState.Alive).map(record =>
            record.info.hostId
        );
        return aliveIds.sort().join() !== expectedAlive;
    });
    const isNaiveWrong = liveIndexes.some(index =>
        [`host-${index}`, ...naiveMemberships[index]!.alive(now)].sort().join() !== expectedAlive
    );
    return {
        naive: isNaiveWrong,
        cassiapick: wrongIndexes.length > 0,
        message: `hosts ${wrongIndexes.join(", ")} of ${testCase.hostCount} list the wrong hosts as alive`,
    };
};

/** Runs the proof of membership. */
export const proveMembership: Proof = options => {
    const random = createRandom(options.seed);
    const notes: string[] = [];
    let naiveViolations = 0;
    let cassiapickViolations = 0;
    for (let index = 0; index < caseCount; index += 1) {
        const violated = runCase(drawCase(random));
        naiveViolations += violated.naive ? 1 : 0;
        cassiapickViolations += violated.cassiapick ? 1 : 0;
        if (violated.cassiapick) {
            notes.push(`case ${index}: ${violated.message}`);
        }
    }
    return Promise.resolve({ cases: caseCount, naiveViolations, cassiapickViolations, notes });
};
