/** Draws random writes of a state host, and computes the states that they result in. */
import { applyWrite } from "@cassiapick/baseline";
import { createMachineState, EntryKind, NodeActionKind } from "@cassiapick/core";
import type { LogEntry, Random, StoredState, WriteAction } from "@cassiapick/core";

const maxWritesPerBatch = 4;
const batchCount = 8;

/** The state with which an empty folder starts. */
export const initialState: StoredState = { hardState: { incarnation: 77, founding: false, term: 0 }, entries: [] };

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

const drawSnapshotWrite = (random: Random, state: StoredState): WriteAction => {
    const lastIncluded = state.entries[random.below(state.entries.length)]!;
    return {
        kind: NodeActionKind.SaveSnapshot,
        snapshot: {
            index: lastIncluded.index,
            term: lastIncluded.term,
            voters: { "state-1": 1 },
            machine: createMachineState(0),
        },
        entries: state.entries.filter(entry => entry.index > lastIncluded.index),
    };
};

const drawWrite = (random: Random, state: StoredState): WriteAction => {
    const draw = random.next();
    if (draw < 0.15) {
        return { kind: NodeActionKind.SaveHardState, hardState: { ...state.hardState, term: state.hardState.term + 1 } };
    }
    if (draw < 0.3 && state.entries.length > 0) {
        return drawSnapshotWrite(random, state);
    }
    if (draw < 0.45 && state.entries.length > 0) {
        return { kind: NodeActionKind.Truncate, fromIndex: state.entries[random.below(state.entries.length)]!.index };
    }
    return { kind: NodeActionKind.Append, entries: [drawEntry(random, state)] };
};

/** The writes of one case, in batches that are synced together, and the state after each write. */
export interface RecoveryScript {
    batches: WriteAction[][];
    /** `states[n]` is the state after the first `n` writes. */
    states: StoredState[];
}

/** Draws one script. */
export const drawScript = (random: Random): RecoveryScript => {
    const states = [initialState];
    const drawnBatches: WriteAction[][] = [];
    for (let batch = 0; batch < batchCount; batch += 1) {
        const writes: WriteAction[] = [];
        const writeCount = 1 + random.below(maxWritesPerBatch);
        for (let index = 0; index < writeCount; index += 1) {
            const write = drawWrite(random, states.at(-1)!);
            writes.push(write);
            states.push(applyWrite(states.at(-1)!, write));
        }
        drawnBatches.push(writes);
    }
    return { batches: drawnBatches, states };
};
