/** Opens the data folder of a state host, also again after its disk has failed. */
import { bootstrapIncarnation, drawIncarnation, NodeActionKind } from "@cassiapick/core";
import type { HardState, Random } from "@cassiapick/core";
import { openDataFolder, openDisk } from "@cassiapick/state";
import type { DataFolder } from "@cassiapick/state";

/** Options of {@link openStorage}. */
export interface StorageOptions {
    dataDir: string;
    /** Whether this host bootstraps the fleet's state if its disk is empty. */
    bootstrap: boolean;
    random: Random;
}

/** Opens the folder; rejects if it can't be used. */
export const openStorage = async ({ dataDir, bootstrap, random }: StorageOptions): Promise<DataFolder> => {
    const initialHardState: HardState = {
        incarnation: bootstrap ? bootstrapIncarnation : drawIncarnation(random),
        founding: bootstrap,
        term: 0,
    };
    const opened = await openDataFolder(await openDisk(dataDir), initialHardState);
    if (!opened.ok) {
        throw new Error(opened.err.message);
    }
    const { folder } = opened;
    const hasNoState = folder.stored.snapshot === undefined && folder.stored.entries.length === 0;
    if (bootstrap && hasNoState && folder.stored.hardState.incarnation !== bootstrapIncarnation) {
        // An earlier start without bootstrap left no state behind, so no vote or acknowledgement is lost by a new incarnation.
        await folder.write([{ kind: NodeActionKind.SaveHardState, hardState: initialHardState }]);
        folder.stored.hardState = initialHardState;
    }
    return folder;
};

/** Opens the folder again after a failed write and rewrites its whole content. */
export const reopenStorage = async (options: StorageOptions): Promise<DataFolder> => {
    const folder = await openStorage(options);
    await folder.rewrite();
    return folder;
};
