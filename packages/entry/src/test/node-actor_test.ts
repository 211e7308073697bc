import { EntryActionKind, EntryEventKind } from "@cassiapick/core";
import type { EntryAction, EntryNode } from "@cassiapick/core";
import { expect } from "chai";
import { createNodeActor } from "../lib/node-actor.js";

const cancel = (attemptId: string): EntryAction => ({ kind: EntryActionKind.CancelAttempt, attemptId });

describe("the actor of an entry node", () => {
    // Guards against answers that are lost because an earlier action of the same event throws.
    it("runs the actions after one that throws", async () => {
        const run: unknown[] = [];
        const errs: string[] = [];
        const actor = createNodeActor({
            node: { step: () => [cancel("1"), cancel("2"), cancel("3")] } as unknown as EntryNode,
            now: () => 0,
            runAction: action => {
                run.push(action);
                if (run.length === 1) {
                    throw new Error("the action failed");
                }
            },
            onInternalError: err => errs.push(err.message),
        });
        try {
            actor.send({ kind: EntryEventKind.Tick });
            while (run.length === 0) {
                await new Promise(resolve => setImmediate(resolve));
            }
        }
        finally {
            actor.stop();
        }
        expect(run).to.deep.equal([cancel("1"), cancel("2"), cancel("3")]);
        expect(errs).to.deep.equal(["the action failed"]);
    });
});
