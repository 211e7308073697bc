/** A data folder that is one JSON file, overwritten in place and never synced. */
import { NodeActionKind } from "@cassiapick/core";
import type { StoredState, WriteAction } from "@cassiapick/core";

/** File operations that the naive folder uses. */
export interface NaiveFolderDisk {
    read(name: string): Promise<Uint8Array | undefined>;
    write(name: string, bytes: Uint8Array, position: number): Promise<void>;
    truncate(name: string, length: number): Promise<void>;
}

const fileName = "state.json";

/** Returns the state after one write. */
export const applyWrite = (stored: StoredState, action: WriteAction): StoredState => {
    if (action.kind === NodeActionKind.SaveHardState) {
        return { ...stored, hardState: action.hardState };
    }
    if (action.kind === NodeActionKind.Append) {
        return { ...stored, entries: [...stored.entries, ...action.entries] };
    }
    if (action.kind === NodeActionKind.Truncate) {
        return { ...stored, entries: stored.entries.filter(entry => entry.index < action.fromIndex) };
    }
    return { ...stored, snapshot: action.snapshot, entries: action.entries };
};

/** Opens the folder; a file that can't be parsed counts as empty. */
export const openNaiveFolder = async (
    disk: NaiveFolderDisk,
    initialState: StoredState,
): Promise<{ stored: StoredState; write(actions: readonly WriteAction[]): Promise<void>; }> => {
    const parse = (content: Uint8Array): StoredState => {
        try {
            return JSON.parse(new TextDecoder().decode(content)) as StoredState;
        }
        catch {
            return initialState;
        }
    };

    const content = await disk.read(fileName);
    const stored = content === undefined ? initialState : parse(content);
    let current = stored;

    const write = async (actions: readonly WriteAction[]): Promise<void> => {
        current = actions.reduce(applyWrite, current);
        const bytes = new TextEncoder().encode(JSON.stringify(current));
        await disk.truncate(fileName, 0);
        await disk.write(fileName, bytes, 0);
    };

    return { stored, write };
};
