/** Draws the writes of a state host, and the states that they lead to. */
import { applyWrite } from "@cassiapick/baseline";
import { createMachineState, EntryKind, NodeActionKind } from "@cassiapick/core";
import type { LogEntry, Random, StoredState, WriteAction } from "@cassiapick/core";

const maxBatch = 4;
const batches = 8;

/** What an empty folder begins with. */
export const firstState: StoredState = { hardState: { incarnation: 77, founding: false, term: 0 }, entries: [] };

const lastIndexOf = (state: StoredState): number => state.entries.at(-1)?.index ?? state.snapshot?.index ?? 0;

const drawEntry = (random: Random, state: StoredState): LogEntry => ({
    index: lastIndexOf(state) + 1,
    term: state.hardState.term,
    body: {
        kind: EntryKind.Change,
        change: {
            changeId: `change-${random.below(1e6)}`,
            expectedVersion: { epoch: 0, index: 0 },
            tables: { routes: [], pools: [] },
            author: "operator",
            acceptedAt: 0,
        },
    },
});

const saveSnapshot = (random: Random, state: StoredState): WriteAction => {
    const at = state.entries[random.below(state.entries.length)]!;
    return {
        kind: NodeActionKind.SaveSnapshot,
        snapshot: { index: at.index, term: at.term, voters: { "state-1": 1 }, machine: createMachineState(0) },
        entries: state.entries.filter(entry => entry.index > at.index),
    };
};

const drawWrite = (random: Random, state: StoredState): WriteAction => {
    const draw = random.next();
    if (draw < 0.15) {
        return { kind: NodeActionKind.SaveHardState, hardState: { ...state.hardState, term: state.hardState.term + 1 } };
    }
    if (draw < 0.3 && state.entries.length > 0) {
        return saveSnapshot(random, state);
    }
    if (draw < 0.45 && state.entries.length > 0) {
        return { kind: NodeActionKind.Truncate, fromIndex: state.entries[random.below(state.entries.length)]!.index };
    }
    return { kind: NodeActionKind.Append, entries: [drawEntry(random, state)] };
};

/** The writes of one case in the batches that are synced together, and the state after each single write. */
export interface RecoveryScript {
    batches: WriteAction[][];
    /** `states[n]` is the state after the first `n` writes. */
    states: StoredState[];
}

/** Draws one script. */
export const drawScript = (random: Random): RecoveryScript => {
    const states = [firstState];
    const drawn: WriteAction[][] = [];
    for (let batch = 0; batch < batches; batch += 1) {
        const writes: WriteAction[] = [];
        const count = 1 + random.below(maxBatch);
        for (let index = 0; index < count; index += 1) {
            const write = drawWrite(random, states.at(-1)!);
            writes.push(write);
            states.push(applyWrite(states.at(-1)!, write));
        }
        drawn.push(writes);
    }
    return { batches: drawn, states };
};
