/** One process of the measurement of claims; its parent tells it what to do. */
import { createDiskClaimer, createDiskEntryClaimer, createVotingClaimer } from "./claims-claimer.js";
import type { Claimer, ClaimerOptions } from "./claims-claimer.js";
import { ClaimsOrderKind, ClaimsReportKind, ClaimsRole } from "./claims-message.js";
import type { ClaimsLoad, ClaimsOrder, ClaimsReport } from "./claims-message.js";

const creators: Record<ClaimsRole, (options: ClaimerOptions) => Promise<Claimer>> = {
    [ClaimsRole.Entry]: createVotingClaimer,
    [ClaimsRole.DiskEntry]: createDiskEntryClaimer,
    [ClaimsRole.Disk]: createDiskClaimer,
};

const state: { claimer?: Claimer; hostId: string; keys: number; } = { hostId: "", keys: 0 };

const report = (message: ClaimsReport): void => {
    process.send?.(message);
};

const runLoad = async (claimer: Claimer, load: ClaimsLoad): Promise<void> => {
    const timesMs: number[] = [];
    let refused = 0;
    const end = performance.now() + load.durationMs;
    const runOne = async (): Promise<void> => {
        while (performance.now() < end) {
            state.keys += 1;
            const from = performance.now();
            const granted = await claimer.claim(`${state.hostId}-${state.keys}`);
            if (granted) {
                timesMs.push(performance.now() - from);
            }
            else {
                refused += 1;
            }
        }
    };
    await Promise.all(Array.from({ length: load.concurrency }, runOne));
    report({ kind: ClaimsReportKind.Loaded, timesMs, refused });
};

const obey = async (order: ClaimsOrder): Promise<void> => {
    if (order.kind === ClaimsOrderKind.Start) {
        state.hostId = order.self.hostId;
        state.claimer = await creators[order.role](order);
        report({ kind: ClaimsReportKind.Listening, port: state.claimer.port });
    }
    else if (order.kind === ClaimsOrderKind.Connect) {
        await state.claimer!.connect(order.peers);
        report({ kind: ClaimsReportKind.Connected });
    }
    else {
        await runLoad(state.claimer!, order.load);
    }
};

process.on("message", order => {
    void obey(order as ClaimsOrder);
});
// A process without its parent has no purpose.
process.on("disconnect", () => process.exit(0));
