#!/usr/bin/env node
/** cassiapick-state: runs one state host. */
import { bootstrapIncarnation, createRandom, drawIncarnation, NodeActionKind } from "@cassiapick/core";
import type { HardState } from "@cassiapick/core";
import {
    createEventLog,
    integerSetting,
    LogFormat,
    onStopSignal,
    peersSetting,
    readSettings,
    readTokenFile,
    textSetting,
} from "@cassiapick/operations";
import { randomInt } from "node:crypto";
import { z } from "zod";
import { openDataFolder } from "./lib/data-folder.js";
import { openDisk } from "./lib/disk.js";
import { startStateHost } from "./lib/state-host.js";

const program = "cassiapick-state";
const maxPort = 65_535;
const invalidSettingsExitCode = 2;
const storageFailureExitCode = 3;
const seedRange = 2 ** 31;

const settings = readSettings({
    program,
    args: process.argv.slice(2),
    env: process.env,
    definitions: {
        hostId: { description: "The name of this state host, as in --peers.", schema: textSetting() },
        listenHost: { description: "The address to listen on.", schema: textSetting() },
        listenPort: { description: "The port to listen on; 0 lets the system choose.", schema: integerSetting(0, maxPort) },
        peers: {
            description: "Every state host, this one included, as 'name=host:port' pairs separated by commas.",
            schema: peersSetting(),
        },
        dataDir: { description: "The folder on this host's disk that holds the state.", schema: textSetting() },
        tokenFile: { description: "The file with the fleet's tokens, one a line.", schema: textSetting() },
        bootstrap: {
            description: "'true' at the very first start of all state hosts; an empty folder is otherwise a lost disk.",
            schema: z.enum(["true", "false"]),
            default: "false" as const,
        },
        epoch: {
            description: "The epoch that a first start begins with; higher than the last one after a rebuild.",
            schema: integerSetting(0, Number.MAX_SAFE_INTEGER),
            default: 0,
        },
        snapshotEvery: {
            description: "How many log entries are kept before a snapshot replaces them.",
            schema: integerSetting(1, 1_000_000),
            default: 256,
        },
        logFormat: { description: "'text' or 'json'.", schema: z.enum(LogFormat), default: LogFormat.Text },
    },
});
if (!settings.ok) {
    for (const err of settings.errs) {
        console.error(err.message);
    }
    process.exit(invalidSettingsExitCode);
}
const cfg = settings.values;
const log = createEventLog({ program, hostId: cfg.hostId, format: cfg.logFormat });

const exitOnStorageFailure = (message: string): never => {
    log.log("storageFailed", { message });
    process.exit(storageFailureExitCode);
};

const random = createRandom(randomInt(seedRange));
const isBootstrap = cfg.bootstrap === "true";
const initialHardState: HardState = {
    incarnation: isBootstrap ? bootstrapIncarnation : drawIncarnation(random),
    founding: isBootstrap,
    term: 0,
};

const openFolder = async (): ReturnType<typeof openDataFolder> => {
    try {
        return await openDataFolder(await openDisk(cfg.dataDir), initialHardState);
    }
    catch (err) {
        return exitOnStorageFailure(`${(err as Error).message}. Check the folder '${cfg.dataDir}'.`);
    }
};

const openedFolder = await openFolder();
if (!openedFolder.ok) {
    exitOnStorageFailure(openedFolder.err.message);
}
else {
    const { folder } = openedFolder;
    const hasNoState = folder.stored.snapshot === undefined && folder.stored.entries.length === 0;
    if (isBootstrap && hasNoState && folder.stored.hardState.incarnation !== bootstrapIncarnation) {
        // An earlier start without --bootstrap created the folder. It holds no entries, so the host has acknowledged nothing.
        await folder.write([{ kind: NodeActionKind.SaveHardState, hardState: initialHardState }]);
        folder.stored.hardState = initialHardState;
    }
    const tokens = readTokenFile(cfg.tokenFile);
    const host = await startStateHost({
        hostId: cfg.hostId,
        listenHost: cfg.listenHost,
        listenPort: cfg.listenPort,
        peers: cfg.peers,
        token: tokens.current,
        acceptToken: token => tokens.accepts(token),
        folder,
        nodeCfg: { random, wallClock: Date.now, snapshotEvery: cfg.snapshotEvery, firstEpoch: cfg.epoch },
        clock: () => performance.now(),
        log,
        onStorageFailed: err =>
            exitOnStorageFailure(`${err.message}. Free space or replace the disk '${cfg.dataDir}', then start again.`),
    });
    process.stdout.write(`listening ${cfg.listenHost}:${host.port}\n`);
    log.log("started", { listenHost: cfg.listenHost, listenPort: host.port });

    const stop = async (): Promise<void> => {
        log.log("draining");
        await host.stop();
        log.log("stopped");
        process.exit(0);
    };
    onStopSignal(() => void stop(), log);
}
