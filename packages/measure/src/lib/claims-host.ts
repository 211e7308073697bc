/** Child process of the measurement of claims; runs the commands that its parent sends. */
import { createDiskClaimer, createDiskEntryClaimer, createVotingClaimer } from "./claims-claimer.js";
import type { Claimer, ClaimerOptions } from "./claims-claimer.js";
import { ClaimsCommandKind, ClaimsReportKind, ClaimsRole } from "./claims-message.js";
import type { ClaimsCommand, ClaimsLoad, ClaimsReport } from "./claims-message.js";

const creators: Record<ClaimsRole, (options: ClaimerOptions) => Promise<Claimer>> = {
    [ClaimsRole.Entry]: createVotingClaimer,
    [ClaimsRole.DiskEntry]: createDiskEntryClaimer,
    [ClaimsRole.Disk]: createDiskClaimer,
};

const state: { claimer?: Claimer; hostId: string; keyCount: number; } = { hostId: "", keyCount: 0 };

const sendReport = (message: ClaimsReport): void => {
    process.send?.(message);
};

const runLoad = async (claimer: Claimer, load: ClaimsLoad): Promise<void> => {
    const timesMs: number[] = [];
    let refused = 0;
    const endAt = performance.now() + load.durationMs;
    const claimRepeatedly = async (): Promise<void> => {
        while (performance.now() < endAt) {
            state.keyCount += 1;
            const startedAt = performance.now();
            const granted = await claimer.claim(`${state.hostId}-${state.keyCount}`);
            if (granted) {
                timesMs.push(performance.now() - startedAt);
            }
            else {
                refused += 1;
            }
        }
    };
    await Promise.all(Array.from({ length: load.concurrency }, claimRepeatedly));
    sendReport({ kind: ClaimsReportKind.Loaded, timesMs, refused });
};

const handleCommand = async (command: ClaimsCommand): Promise<void> => {
    if (command.kind === ClaimsCommandKind.Start) {
        state.hostId = command.self.hostId;
        state.claimer = await creators[command.role](command);
        sendReport({ kind: ClaimsReportKind.Listening, port: state.claimer.port });
    }
    else if (command.kind === ClaimsCommandKind.Connect) {
        await state.claimer!.connect(command.peers);
        sendReport({ kind: ClaimsReportKind.Connected });
    }
    else {
        await runLoad(state.claimer!, command.load);
    }
};

process.on("message", command => {
    void handleCommand(command as ClaimsCommand);
});
// Exits with its parent, so that no process is left behind.
process.on("disconnect", () => process.exit(0));
