/** Proof: after links have healed, every live host holds exactly the live hosts to be alive, and a dead one is noticed in time. */
import { createNaiveMembership } from "@cassiapick/baseline";
import { createMembership, createRandom, HostState, MembershipActionKind, MembershipEventKind } from "@cassiapick/core";
import type { HostInfo, Membership, MembershipAction, Random } from "@cassiapick/core";
import { createFailingLinks } from "./failing-links.js";
import type { Proof } from "./proof.js";

const cases = 30;
const tickMs = 25;
const heartbeatMs = 400;
/** Links fail only within this stretch. */
const faultsMs = 10_000;
/** After the faults, views must agree with the truth by then: some rounds of the digests, which are offered each 4 s. */
const settleMs = 40_000;
const failingShare = 0.35;

interface MembershipCase {
    seed: number;
    hosts: number;
    /** Hosts that are killed, and when. */
    kills: { index: number; at: number; }[];
    /** A host whose process restarts with a higher incarnation, and when. */
    restart: { index: number; at: number; };
}

const drawCase = (random: Random): MembershipCase => {
    const hosts = 4 + random.below(6);
    const killed = random.below(hosts);
    return {
        seed: random.below(1_000_000),
        hosts,
        kills: random.next() < 0.6 ? [{ index: killed, at: random.below(faultsMs) }] : [],
        restart: { index: (killed + 1) % hosts, at: random.below(faultsMs) },
    };
};

const infoOf = (index: number): HostInfo => ({
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

const runCase = (drawn: MembershipCase): { naive: boolean; own: boolean; note: string; } => {
    const infos = Array.from({ length: drawn.hosts }, (_, index) => infoOf(index));
    const create = (index: number, incarnation: number): Membership =>
        createMembership({
            self: infos[index]!,
            incarnation,
            seeds: infos,
            random: createRandom(drawn.seed + index * 1000 + incarnation),
        });
    const views = infos.map((_, index) => create(index, 1));
    const naive = infos.map(self => createNaiveMembership(infos.filter(other => other !== self).map(other => other.hostId)));
    const links = createFailingLinks({ random: createRandom(drawn.seed), lengthMs: faultsMs / 2, failingShare });
    let now = 0;

    const isDead = (index: number): boolean => drawn.kills.some(kill => kill.index === index && now >= kill.at);

    const carryOut = (index: number, actions: MembershipAction[]): void => {
        for (const action of actions) {
            if (action.kind === MembershipActionKind.Send) {
                const to = indexOf(action.toHostId);
                links.send(`host-${index}`, action.toHostId, now, () => {
                    if (!isDead(to)) {
                        const message = {
                            kind: MembershipEventKind.Message as const,
                            fromHostId: `host-${index}`,
                            message: action.message,
                        };
                        carryOut(to, views[to]!.step(message, now));
                    }
                });
            }
        }
    };

    const beat = (index: number): void => {
        for (let to = 0; to < drawn.hosts; to += 1) {
            if (to !== index) {
                links.send(`host-${index}`, `host-${to}`, now, () => naive[to]!.recordHeartbeat(`host-${index}`, now));
            }
        }
    };

    for (; now < faultsMs + settleMs; now += tickMs) {
        links.run(now);
        if (now === drawn.restart.at - drawn.restart.at % tickMs) {
            views[drawn.restart.index] = create(drawn.restart.index, 2);
        }
        for (let index = 0; index < drawn.hosts; index += 1) {
            if (isDead(index)) {
                continue;
            }
            carryOut(index, views[index]!.step({ kind: MembershipEventKind.Tick }, now));
            if (now % heartbeatMs === 0) {
                beat(index);
            }
            naive[index]!.alive(now);
        }
    }

    const living = infos.map((_, index) => index).filter(index => !isDead(index));
    const truth = living.map(index => `host-${index}`).sort().join();
    const wrong = living.filter(index => {
        const held = views[index]!.records().filter(record => record.state === HostState.Alive).map(record => record.info.hostId);
        return held.sort().join() !== truth;
    });
    const naiveWrong = living.some(index => [`host-${index}`, ...naive[index]!.alive(now)].sort().join() !== truth);
    return { naive: naiveWrong, own: wrong.length > 0, note: `hosts ${wrong.join(", ")} of ${drawn.hosts} hold a wrong view` };
};

/** Runs the proof of membership. */
export const proveMembership: Proof = options => {
    const random = createRandom(options.seed);
    const notes: string[] = [];
    let naiveViolated = 0;
    let ownViolated = 0;
    for (let index = 0; index < cases; index += 1) {
        const violated = runCase(drawCase(random));
        naiveViolated += violated.naive ? 1 : 0;
        ownViolated += violated.own ? 1 : 0;
        if (violated.own) {
            notes.push(`case ${index}: ${violated.note}`);
        }
    }
    return Promise.resolve({ cases, naiveViolated, ownViolated, notes });
};
