/** Records the limits that entry hosts report, and computes the shares of them that entry hosts may use. */
import { computeLimitShares, FactKind, StateReplyKind } from "@cassiapick/core";
import type { FleetMachine, LimitReport, LimitShares } from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";
import type { RecordFacts } from "./fact-batcher.js";

/** Options of {@link createLimitRecorder}. */
export interface LimitRecorderOptions {
    recordFacts: RecordFacts;
    log: EventLog;
}

/** The limits of servers on one state host. */
export interface LimitRecorder {
    /** Commits the reports that differ from `fleet`. An entry host repeats a report until its shares reflect it. */
    record(fleet: FleetMachine, reports: readonly LimitReport[]): Promise<void>;
    /** The shares of all entry hosts; computed again only after a change. */
    sharesOf(fleet: FleetMachine): LimitShares;
}

/** Creates the recorder of one state host. */
export const createLimitRecorder = ({ recordFacts, log }: LimitRecorderOptions): LimitRecorder => {
    /** Servers whose limit is being committed; several hosts report a limit at about the same time. */
    const pendingNumbers = new Set<number>();
    let latest: { fleet: FleetMachine; revision: number; shares: LimitShares; } | undefined;

    const isNews = (fleet: FleetMachine, { serverId, number, limitPerS }: LimitReport): boolean => {
        const record = fleet.server(serverId);
        return record?.number === number && record.limitPerS !== limitPerS && !pendingNumbers.has(number);
    };

    return {
        record: async (fleet, reports) => {
            const news = reports.filter(report => isNews(fleet, report));
            if (news.length === 0) {
                return;
            }
            news.forEach(({ number }) => pendingNumbers.add(number));
            const reply = await recordFacts(news.map(report => ({ kind: FactKind.ServerLimit, ...report })));
            for (const { serverId, number, limitPerS } of news) {
                pendingNumbers.delete(number);
                const event = reply.kind === StateReplyKind.Recorded ? "serverLimitRecorded" : "stateUnavailable";
                log.log(event, { request: "limit", serverId, limitPerS });
            }
        },
        sharesOf: fleet => {
            const revision = fleet.limitsRevision();
            if (latest?.fleet !== fleet || latest.revision !== revision) {
                latest = { fleet, revision, shares: computeLimitShares(fleet) };
            }
            return latest.shares;
        },
    };
};
