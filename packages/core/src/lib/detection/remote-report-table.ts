/** Holds what other hosts report about the members of one pool. */

/** One host's report about one member. */
export interface RemoteReport {
    /** The reporting host. */
    host: string;
    serverId: string;
    /** In thresholds of that host's own tests: 1 or more is a suspicion, 0 means that its requests to the member succeed. */
    evidence: number;
}

/** The latest report of each host about each member. Times are in milliseconds. */
export interface RemoteReportTable {
    add(report: RemoteReport, now: number): void;
    /** Summarizes the valid reports of other hosts about a member. */
    summary(serverId: string, now: number): RemoteSummary;
    remove(serverId: string): void;
    /** Whether any host has reported about the member. */
    has(serverId: string): boolean;
}

/** The valid reports of other hosts about one member, summarized. */
export interface RemoteSummary {
    /** Number of hosts that suspect it. */
    suspectingHosts: number;
    /** Number of hosts with little or no evidence against it. */
    healthyHosts: number;
    /** The highest evidence that a host reports, in thresholds. */
    maxEvidence: number;
    /** The latest time at which one of the suspecting hosts began to suspect it; 0 without any. */
    suspectedSince: number;
}

interface StoredReport {
    evidence: number;
    receivedAt: number;
    suspectedSince: number;
}

const reportValidityMs = 60_000;
const maxHealthyEvidence = 0.25;

/** Creates an empty table for one pool. */
export const createRemoteReportTable = (): RemoteReportTable => {
    const reportsByServer = new Map<string, Map<string, StoredReport>>();

    const add = (report: RemoteReport, now: number): void => {
        const reportsByHost = reportsByServer.get(report.serverId) ?? new Map<string, StoredReport>();
        reportsByServer.set(report.serverId, reportsByHost);
        const previous = reportsByHost.get(report.host);
        const suspectedSince = previous !== undefined && previous.evidence >= 1 ? previous.suspectedSince : now;
        reportsByHost.set(report.host, { evidence: report.evidence, receivedAt: now, suspectedSince });
    };

    const summary = (serverId: string, now: number): RemoteSummary => {
        const result = { suspectingHosts: 0, healthyHosts: 0, maxEvidence: 0, suspectedSince: 0 };
        for (const { evidence, receivedAt, suspectedSince } of reportsByServer.get(serverId)?.values() ?? []) {
            if (now - receivedAt > reportValidityMs) {
                continue;
            }
            result.suspectingHosts += evidence >= 1 ? 1 : 0;
            result.suspectedSince = evidence >= 1 ? Math.max(result.suspectedSince, suspectedSince) : result.suspectedSince;
            result.healthyHosts += evidence <= maxHealthyEvidence ? 1 : 0;
            result.maxEvidence = Math.max(result.maxEvidence, evidence);
        }
        return result;
    };

    return { add, summary, remove: serverId => reportsByServer.delete(serverId), has: serverId => reportsByServer.has(serverId) };
};
