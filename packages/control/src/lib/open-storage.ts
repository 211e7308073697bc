/** Opens the data folder of a state host that recovers from failing disks by itself. */
import { bootstrapIncarnation, drawIncarnation, NodeActionKind } from "@cassiapick/core";
import type { HardState, Random } from "@cassiapick/core";
import { openDataFolder, openDisk } from "@cassiapick/state";
import type { DataFolder } from "@cassiapick/state";

/** Options of {@link openStorage}. */
export interface StorageOptions {
    dataDir: string;
    /** Whether this host founds the fleet's state, if its disk is empty. */
    founding: boolean;
    random: Random;
}

/** Opens the folder; rejects when it can't be used. */
export const openStorage = async ({ dataDir, founding, random }: StorageOptions): Promise<DataFolder> => {
    const firstHardState: HardState = {
        incarnation: founding ? bootstrapIncarnation : drawIncarnation(random),
        founding,
        term: 0,
    };
    const opened = await openDataFolder(await openDisk(dataDir), firstHardState);
    if (!opened.ok) {
        throw new Error(opened.err.message);
    }
    const { folder } = opened;
    const isBlank = folder.stored.snapshot === undefined && folder.stored.entries.length === 0;
    if (founding && isBlank && folder.stored.hardState.incarnation !== bootstrapIncarnation) {
        // An earlier start that founded nothing left it blank, and a blank disk has promised nothing.
        await folder.write([{ kind: NodeActionKind.SaveHardState, hardState: firstHardState }]);
        folder.stored.hardState = firstHardState;
    }
    return folder;
};

/** Opens the folder again after a failed write, and writes everything anew. */
export const reopenStorage = async (options: StorageOptions): Promise<DataFolder> => {
    const folder = await openStorage(options);
    await folder.rewrite();
    return folder;
};
