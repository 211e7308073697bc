import { expect } from "chai";
import {
    createBootstrapSnapshot,
    createRandom,
    createStateNode,
    NodeActionKind,
    NodeEventKind,
    StateReplyKind,
    StateRequestKind,
} from "../index.js";
import type { CreateStateNodeCfg, NodeAction, Snapshot, StateNode } from "../index.js";
import { weightOf } from "../lib/value-weight.js";

const documentLength = 10_000;
const maxLogWeight = 100_000;
/** A document's characters may take two bytes each. */
const maxDocuments = Math.ceil(maxLogWeight / (2 * documentLength)) + 1;

// Guards against state hosts that keep every version of a long configuration in memory, and end at their heap limit.
describe("the log of a state host", () => {
    const start = (change: Partial<CreateStateNodeCfg> = {}): StateNode =>
        createStateNode({
            hostId: "a",
            hostIds: ["a"],
            stored: {
                hardState: { incarnation: 1, founding: false, term: 0 },
                snapshot: createBootstrapSnapshot(["a"], 0),
                entries: [],
            },
            random: createRandom(1),
            wallClock: () => 0,
            maxLogWeight,
            ...change,
        });

    /** Publishes versions of `length` characters one after another; returns the longest log and all actions. */
    const publish = (node: StateNode, versions: number, length: number): { longest: number; actions: NodeAction[]; } => {
        const actions: NodeAction[] = [];
        let now = 0;
        const step = (event: Parameters<StateNode["step"]>[0]): void => {
            now += 1000;
            actions.push(...node.step(event, now));
        };
        for (let ticks = 0; ticks < 10; ticks += 1) {
            step({ kind: NodeEventKind.Tick });
        }
        let longest = 0;
        for (let number = 1; number <= versions; number += 1) {
            const published = { number, document: String(number).padEnd(length, "x") };
            step({ kind: NodeEventKind.Request, requestId: number, request: { kind: StateRequestKind.Publish, published } });
            longest = Math.max(longest, node.status().logLength);
        }
        return { longest, actions };
    };

    it("holds few versions of a long configuration, and loses none that it acknowledged", () => {
        const { longest, actions } = publish(start(), 100, documentLength);
        expect(longest).to.be.at.most(maxDocuments);
        const recorded = actions.filter(action =>
            action.kind === NodeActionKind.Reply && action.reply.kind === StateReplyKind.Recorded
        );
        expect(recorded.length).to.equal(100);
        // What a restart finds: the latest snapshot and the entries after it.
        let snapshot: Snapshot | undefined;
        let numbers: unknown[] = [];
        for (const action of actions) {
            if (action.kind === NodeActionKind.SaveSnapshot) {
                snapshot = action.snapshot;
                numbers = [snapshot.machine.fleet?.published?.number];
            }
            if (action.kind === NodeActionKind.Append) {
                numbers.push(...action.entries.flatMap(({ body }) => "published" in body ? [body.published.number] : []));
            }
        }
        expect(snapshot).to.not.equal(undefined);
        expect(numbers.at(-1)).to.equal(100);
        expect(numbers.length).to.be.at.most(maxDocuments + 1);
    });

    it("holds many versions of a short one", () => {
        const { longest, actions } = publish(start(), 100, 10);
        expect(longest).to.be.at.least(100);
        expect(actions.some(({ kind }) => kind === NodeActionKind.SaveSnapshot)).to.equal(false);
    });
});

describe("the weight of a value", () => {
    const cases: [name: string, value: unknown, min: number, max: number][] = [
        ["a number", 5, 8, 8],
        ["nothing", undefined, 8, 8],
        ["a text", "x".repeat(1000), 1000, 2100],
        ["a text in an object in an array", [{ text: "x".repeat(1000) }], 1000, 2200],
        ["many numbers", Array.from({ length: 1000 }, (_, index) => index), 8000, 17_000],
    ];
    for (const [name, value, min, max] of cases) {
        it(`of ${name} is from ${min} to ${max} bytes`, () => {
            expect(weightOf(value)).to.be.within(min, max);
        });
    }
});
