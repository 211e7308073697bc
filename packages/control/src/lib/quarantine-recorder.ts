/** Records the quarantined requests that entry hosts report, so that they outlast the hosts that have seen their servers end. */
import { FactKind, HostPhase, HostRole, StateReplyKind } from "@cassiapick/core";
import type { Fact, FleetMachine, QuarantinedRow } from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";
import type { RecordFacts } from "./fact-batcher.js";

/** Options of {@link createQuarantineRecorder}. */
export interface QuarantineRecorderOptions {
    recordFacts: RecordFacts;
    /** Wall-clock time in milliseconds since 1970. */
    wallClock: () => number;
    log: EventLog;
}

/** The quarantined requests on one state host. */
export interface QuarantineRecorder {
    /** Commits the reports that differ from `fleet`. */
    record(fleet: FleetMachine, rows: readonly QuarantinedRow[]): Promise<void>;
}

/** Whether all state hosts understand the fact; one of an earlier version could not apply the log any more. */
const isSupported = (fleet: FleetMachine): boolean => {
    const stateHosts = [...fleet.hosts()].filter(({ role, state }) => role === HostRole.State && state !== HostPhase.Departed);
    return stateHosts.length > 0 && stateHosts.every(({ takesQuarantine }) => takesQuarantine === true);
};

/** Creates the recorder of one state host. */
export const createQuarantineRecorder = (options: QuarantineRecorderOptions): QuarantineRecorder => {
    const { recordFacts, wallClock, log } = options;

    const isNews = (fleet: FleetMachine, [key, , trials, , lifted]: QuarantinedRow): boolean => {
        const known = fleet.quarantined().get(key);
        return lifted === 1 ? known !== undefined : known === undefined || trials > known.trials;
    };

    const toFact = ([key, trialInMs, trials, serverCount, lifted]: QuarantinedRow): Fact => ({
        kind: FactKind.Quarantine,
        request: { key, trialAt: wallClock() + trialInMs, trials, serverCount },
        isLifted: lifted === 1,
    });

    return {
        record: async (fleet, rows) => {
            const news = isSupported(fleet) ? rows.filter(row => isNews(fleet, row)) : [];
            if (news.length === 0) {
                return;
            }
            const reply = await recordFacts(news.map(toFact));
            const event = reply.kind === StateReplyKind.Recorded ? "quarantineRecorded" : "stateUnavailable";
            for (const [requestKey, , trials, servers, lifted] of news) {
                log.log(event, { request: "quarantine", requestKey, trials, servers, isLifted: lifted === 1 });
            }
        },
    };
};
