/** What other hosts report about one pool's members. */

/** One host's report about one member. */
export interface RemoteReport {
    /** The host that saw it. */
    host: string;
    serverId: string;
    /** In thresholds of that host's own tests: 1 or more is a suspicion, 0 says that its requests go well. */
    evidence: number;
}

/** The newest report of each host about each member. */
export interface RemoteReports {
    add(report: RemoteReport, now: number): void;
    /** The other hosts that suspect the member, and those that find it well. */
    opinions(serverId: string, now: number): Opinions;
    remove(serverId: string): void;
    /** Whether any host has reported about the member. */
    has(serverId: string): boolean;
}

/** How other hosts see one member. */
export interface Opinions {
    /** Hosts that suspect it. */
    ill: number;
    /** Hosts whose requests go well there. */
    well: number;
    /** The greatest evidence among them, in thresholds. */
    greatest: number;
    /** When the present suspicions began to arrive; 0 without any. */
    illSince: number;
}

interface Entry {
    evidence: number;
    at: number;
    illSince: number;
}

const reportLifeMs = 60_000;
const wellEvidence = 0.25;

/** Creates the reports of one pool. */
export const createRemoteReports = (): RemoteReports => {
    const members = new Map<string, Map<string, Entry>>();

    const add = (report: RemoteReport, now: number): void => {
        const hosts = members.get(report.serverId) ?? new Map<string, Entry>();
        members.set(report.serverId, hosts);
        const before = hosts.get(report.host);
        const illSince = before !== undefined && before.evidence >= 1 ? before.illSince : now;
        hosts.set(report.host, { evidence: report.evidence, at: now, illSince });
    };

    const opinions = (serverId: string, now: number): Opinions => {
        const result = { ill: 0, well: 0, greatest: 0, illSince: 0 };
        for (const { evidence, at, illSince } of members.get(serverId)?.values() ?? []) {
            if (now - at > reportLifeMs) {
                continue;
            }
            result.ill += evidence >= 1 ? 1 : 0;
            result.illSince = evidence >= 1 ? Math.max(result.illSince, illSince) : result.illSince;
            result.well += evidence <= wellEvidence ? 1 : 0;
            result.greatest = Math.max(result.greatest, evidence);
        }
        return result;
    };

    return { add, opinions, remove: serverId => members.delete(serverId), has: serverId => members.has(serverId) };
};
