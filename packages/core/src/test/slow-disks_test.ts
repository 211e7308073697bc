import { expect } from "chai";
import { createRandom, createStateNode, NodeActionKind, NodeEventKind, StateRole } from "../index.js";
import type { NodeAction, NodeEvent, PeerMessage, StateNode } from "../index.js";

const hostIds = ["a", "b", "c"];
const timing = { heartbeatMs: 200, electionTimeoutMs: 800, requestTimeoutMs: 3000 };
const tickMs = 50;
const latencyMs = 5;
const appendMs = 1;
/** While one write takes longer than this, a host drops the messages of its peers, in milliseconds. */
const stallMs = 1000;
/** A second attempt follows one that two hosts began together; each waits for three saves at most. */
const attempts = 2;
const savesPerAttempt = 3;
const seeds = 20;

interface Host {
    node: StateNode;
    queue: NodeEvent[];
    /** When the write under way began, and when it is durable. */
    startedAt: number;
    busyUntil: number;
    /** What goes out once the write is durable. */
    actions: NodeAction[];
    saves: number;
}

/** Runs three hosts whose saves of a vote take `saveMs`; returns the time until one leads, `Infinity` if none does by `untilMs`. */
const timeToLeader = (saveMs: (hostId: string) => number, seed: number, untilMs: number): number => {
    const random = createRandom(seed);
    const inFlight: { at: number; to: string; from: string; message: PeerMessage; }[] = [];
    const hosts = new Map<string, Host>(hostIds.map(hostId => [hostId, {
        node: createStateNode({
            hostId,
            hostIds,
            stored: { hardState: { incarnation: 1, founding: true, term: 0 }, entries: [] },
            random: createRandom(random.below(2 ** 30)),
            wallClock: () => 0,
            timing,
        }),
        queue: [],
        startedAt: 0,
        busyUntil: 0,
        actions: [],
        saves: 0,
    }]));

    /** Processes a batch like the driver of a state host: what is queued while a write is under way waits. */
    const process = (hostId: string, host: Host, now: number): void => {
        const { node } = host;
        if (host.saves > 0) {
            node.recordSave((host.busyUntil - host.startedAt) / host.saves, now);
        }
        for (const action of host.actions) {
            if (action.kind === NodeActionKind.Send) {
                inFlight.push({ at: now + latencyMs, to: action.to, from: hostId, message: structuredClone(action.message) });
            }
        }
        host.actions = host.queue.splice(0).flatMap(event => node.step(event, now));
        const kinds = host.actions.map(({ kind }) => kind);
        host.saves = kinds.filter(kind => kind === NodeActionKind.SaveHardState).length
            + 2 * kinds.filter(kind => kind === NodeActionKind.SaveSnapshot).length;
        const hasAppends = kinds.includes(NodeActionKind.Append);
        host.startedAt = now;
        host.busyUntil = now + host.saves * saveMs(hostId) + (hasAppends ? appendMs : 0);
    };

    for (let now = 0; now < untilMs; now += 1) {
        for (const { to, from, message } of inFlight.filter(({ at }) => at === now)) {
            const host = hosts.get(to)!;
            if (now >= host.busyUntil || now - host.startedAt <= stallMs) {
                host.queue.push({ kind: NodeEventKind.Message, from, message });
            }
        }
        for (const [index, [hostId, host]] of [...hosts].entries()) {
            if (now % tickMs === 7 * index) {
                host.queue.push({ kind: NodeEventKind.Tick });
            }
            if (now >= host.busyUntil && (host.queue.length > 0 || host.actions.length > 0)) {
                process(hostId, host, now);
            }
        }
        if ([...hosts.values()].some(({ node, saves }) => node.status().role === StateRole.Leader && saves === 0)) {
            return now;
        }
    }
    return Infinity;
};

// Guards against state hosts that elect no leader for as long as the disk takes about an election timeout to make a vote durable.
describe("an election on slow disks", () => {
    const cases: [saveMs: number, slowHosts: readonly string[], isVarying?: boolean][] = [
        [1, hostIds],
        [66, hostIds],
        [200, hostIds],
        [350, hostIds],
        [720, hostIds],
        [1200, hostIds],
        [2000, hostIds],
        [720, ["a"]],
        [2000, ["b"]],
        [2000, ["a", "c"]],
        [720, hostIds, true],
        [2000, hostIds, true],
    ];
    for (const [saveMs, slowHosts, isVarying = false] of cases) {
        const boundMs = timing.requestTimeoutMs + attempts * savesPerAttempt * saveMs;
        it(`of ${slowHosts.length} that take ${isVarying ? "from 50 to " : ""}${saveMs} ms has a leader within ${boundMs} ms, seeds 1 to ${seeds}`, () => {
            // A bootstrap saves the snapshot and the hard state first.
            const bootstrapMs = 3 * saveMs;
            const times = Array.from({ length: seeds }, (_, index) => {
                const random = createRandom(index + 1);
                const slowMs = (): number => isVarying ? Math.round(50 + (saveMs - 50) * random.next()) : saveMs;
                return timeToLeader(hostId => slowHosts.includes(hostId) ? slowMs() : 1, index + 1, 60_000);
            });
            expect(Math.max(...times) - bootstrapMs, times.join(", ")).to.be.at.most(boundMs);
        });
    }
});
