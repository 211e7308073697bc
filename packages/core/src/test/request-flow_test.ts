import { expect } from "chai";
import {
    AttemptClass,
    createPoolNode,
    createRandom,
    createRouteTable,
    DetectionMode,
    EntryActionKind,
    EntryEventKind,
    Outcome,
    RefusalKind,
    SchedulerActionKind,
    ServerState,
} from "../index.js";
import type { Announcement, EntryAction, PoolNode, PoolResult } from "../index.js";
import { createRequestFlow } from "../lib/entry/request-flow.js";

const pool = { destination: "d", service: "s", floorShare: 0, detection: DetectionMode.Prompt };
const route = { brand: "b", kind: "k", destination: "d", timeoutMs: 10_000, idempotent: true };
const server: Announcement = {
    id: "server-1",
    host: "127.0.0.1",
    port: 1,
    region: "r",
    availabilityZone: "z",
    services: ["s"],
    slots: 3,
    incarnation: 1,
    sequence: 1,
    state: ServerState.Ready,
    cold: false,
};
const request = { requestId: "q", brand: "b", kind: "k", method: "GET", fingerprint: "", deadlineAt: 10_000, visited: [] };

/** A flow over one pool whose answer to an ended attempt can be replaced. */
const createFixture = () => {
    const node = createPoolNode({ pool, region: "r", availabilityZone: "z", random: createRandom(1) });
    node.setMembers([server], 0);
    const forced: { ended?: PoolResult; } = {};
    let hedged = false;
    const faked: PoolNode = {
        ...node,
        ended: (...args) => {
            const result = node.ended(...args);
            return forced.ended ?? result;
        },
        submit: (wish, now) => hedged ? { scheduled: [], notes: [], reports: [] } : node.submit(wish, now),
        hedgeAfterMs: () => 10,
        takeHedge: () => {
            hedged = true;
            return true;
        },
    };
    const flow = createRequestFlow({
        hostId: "h",
        ports: {
            routes: () => createRouteTable({ routes: [route], pools: [pool] }),
            pools: { find: () => faked, configure: () => [], refresh: () => [], tick: () => [], all: () => [faked] },
            candidates: () => [],
            applyPool: (owner, result, now) => flow.applyScheduled(owner, result.scheduled, now),
            probe: () => [],
            wantClaim: () => [],
            endClaim: () => [],
        },
    });
    return { flow, forced, node };
};

const attemptOf = (actions: EntryAction[]): string => {
    const attempt = actions.find(action => action.kind === EntryActionKind.Attempt);
    return attempt?.attemptId ?? "";
};

const cases = [
    { ends: AttemptClass.Success, outcomes: [Outcome.Completed], open: 0 },
    // A cut attempt is tried again, since the request is idempotent; nothing is said yet.
    { ends: AttemptClass.Cut, outcomes: [], open: 1 },
];

describe("createRequestFlow", () => {
    for (const { ends, outcomes, open } of cases) {
        it(`answers once, truthfully, when freeing the slot of a ${ends} attempt refuses its waiting hedge`, () => {
            const { flow, forced } = createFixture();
            const attemptId = attemptOf(flow.arrive(request, 0));
            flow.tick(20);
            const refusedHedge = {
                kind: SchedulerActionKind.Refuse as const,
                attemptId: "q/2",
                reason: RefusalKind.NoCapacity as const,
                retryAfterMs: 50,
            };
            forced.ended = { scheduled: [refusedHedge], notes: [], reports: [] };
            const actions = flow.attemptEnded({ kind: EntryEventKind.AttemptEnded, attemptId, attemptClass: ends }, 30);
            const answers = actions.flatMap(action => {
                if (action.kind === EntryActionKind.Refuse) {
                    return [action.refusal.outcome];
                }
                return action.kind === EntryActionKind.Deliver ? [Outcome.Completed] : [];
            });
            expect(answers).to.deep.equal(outcomes);
            expect(flow.open()).to.equal(open);
        });
    }

    it("gives a slot back that was granted to nobody", () => {
        const { flow, node } = createFixture();
        const submitted = node.submit(
            { attemptId: "gone", brand: "b", requestKind: "k", deadlineAt: 1000, arrivedAt: 0, idempotent: true, tried: [] },
            0,
        );
        expect(node.inFlight("server-1")).to.equal(1);
        flow.applyScheduled(node, submitted.scheduled, 0);
        expect(node.inFlight("server-1")).to.equal(0);
    });
});
