/** The quarantine of one entry host, with the links to the state hosts over which the hosts share evidence. */
import {
    createRequestQuarantine,
    fromEvidenceRow,
    fromQuarantinedRow,
    LinkMessageKind,
    Repeatability,
    toEvidenceRow,
    toQuarantinedRow,
} from "@cassiapick/core";
import type { EvidenceRow, FleetServer, QuarantinedRow, Random, RequestQuarantine, ServerPool } from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";
import type { GatewayMetrics } from "./gateway-metrics.js";
import { createServerEndCheck } from "./server-end-check.js";
import type { ServerEndCheck, ServerEndCheckOptions } from "./server-end-check.js";
import type { StateLink } from "./state-link.js";

/** Options of {@link createGatewayQuarantine}. */
export interface GatewayQuarantineOptions {
    random: Random;
    pool: ServerPool;
    tryConnect: ServerEndCheckOptions["tryConnect"];
    link: () => Pick<StateLink, "takesEvidence" | "sendEvidence">;
    metrics: GatewayMetrics;
    clock: () => number;
    log: EventLog;
}

/** The quarantine and what arrives for it. */
export interface GatewayQuarantine {
    quarantine: RequestQuarantine;
    serverEndCheck: ServerEndCheck;
    /** Applies what other entry hosts have seen. */
    evidenceReceived(rows: readonly EvidenceRow[]): void;
    /** Applies what the state hosts have recorded, and reports what they lack. */
    recordsReceived(rows: readonly QuarantinedRow[]): void;
    /** Values for the metrics. */
    gauges(): Record<string, number>;
}

/** Creates the quarantine of a host that suspects no request. */
export const createGatewayQuarantine = (options: GatewayQuarantineOptions): GatewayQuarantine => {
    const { random, pool, link, metrics, clock, log } = options;

    const quarantine = createRequestQuarantine({
        random,
        serverCount: service => pool.readyServers(service, clock()).length,
        isConnected: () => link().takesEvidence(),
        send: evidence => link().sendEvidence({ k: LinkMessageKind.RequestEvidence, r: [toEvidenceRow(evidence)] }),
        onQuarantineChanged: (request, isLifted) => {
            const { key: requestKey, serverCount: servers, trials, trialInMs } = request;
            log.log(isLifted ? "requestCleared" : "requestQuarantined", {
                requestKey,
                servers,
                trials,
                trialInMs: Math.round(trialInMs),
            });
            metrics.increment("cassiapick_quarantine_changes_total", { change: isLifted ? "cleared" : "quarantined" });
            link().sendEvidence({ k: LinkMessageKind.Quarantined, q: [toQuarantinedRow(request, isLifted)] });
        },
    });

    /** The best server of the same service, and one of another, as the request may have ended most servers of its own. */
    const otherServers = ({ service, number }: FleetServer): FleetServer[] => {
        const otherService = pool.readyServers(undefined, clock()).find(other => other.service !== service)?.service;
        return [service, otherService].flatMap(name => {
            const choice = name === undefined
                ? undefined
                : pool.choose(name, Repeatability.AtMostOnce, new Set([number]), clock());
            return choice === undefined ? [] : [choice.server];
        });
    };

    return {
        gauges: () => ({
            cassiapick_suspected_requests: quarantine.suspectCount(),
            cassiapick_quarantined_requests: quarantine.quarantined(clock()).length,
        }),
        quarantine,
        serverEndCheck: createServerEndCheck({
            tryConnect: options.tryConnect,
            otherServers,
            clock,
        }),
        evidenceReceived: rows => {
            for (const row of rows) {
                const evidence = fromEvidenceRow(row);
                if (evidence !== undefined) {
                    quarantine.apply(evidence, clock());
                }
            }
        },
        recordsReceived: rows => {
            quarantine.setRecorded(rows.map(fromQuarantinedRow), clock());
            // State hosts of an earlier version may have kept the others from recording what this host has reported.
            const recordedKeys = new Set(rows.map(([key]) => key));
            const missing = quarantine.quarantined(clock()).filter(({ key }) => !recordedKeys.has(key));
            if (missing.length > 0) {
                link().sendEvidence({ k: LinkMessageKind.Quarantined, q: missing.map(request => toQuarantinedRow(request)) });
            }
        },
    };
};
