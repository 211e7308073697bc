/**
 * Replicated state machine of the roster: the entry hosts that take part in claims.
 *
 * The roster changes only here, in log order. A list that hosts may still use is kept as an earlier list, so that a claim
 * needs a majority in that list too.
 */
import type { EntryRoster, RosterHost } from "../state-messages.js";

/** Reports the start of an entry host's process. */
export interface Enrollment {
    host: RosterHost;
    /** The incarnation of its process. */
    incarnation: number;
    /** Wall-clock time of the leader that received the request, in milliseconds since 1970. */
    at: number;
}

/** The reply to an enrollment. */
export interface EnrollmentDecision {
    /** Whether no earlier process of the host ever enrolled. */
    firstStart: boolean;
    /** `undefined` while no roster contains the host; the host then retries. */
    roster?: EntryRoster;
}

/** The serializable state for snapshots. */
export interface RosterState {
    /** The incarnation of the first process of each host, by host id. */
    firstIncarnations: Record<string, number>;
    /** Every host that has enrolled. */
    hosts: RosterHost[];
    /** Time of the latest enrollment of a new or changed host, in milliseconds since 1970. */
    lastNewHostAt: number;
    roster?: EntryRoster;
}

/** Decides enrollments deterministically: every state host reaches the same result. */
export interface RosterMachine {
    enroll(enrollment: Enrollment): EnrollmentDecision;
    toState(): RosterState;
}

/**
 * Time without a new host after which a roster is formed, in milliseconds. Hosts that start together then share one list;
 * otherwise each of them would add an earlier list.
 */
const rosterSettleMs = 1500;

/** The state before the first enrollment. */
export const emptyRosterState: RosterState = { firstIncarnations: {}, hosts: [], lastNewHostAt: 0 };

const isSameHost = (a: RosterHost, b: RosterHost): boolean =>
    a.hostId === b.hostId && a.region === b.region && a.availabilityZone === b.availabilityZone;

/** Creates a roster state machine that continues from `initial`. */
export const createRosterMachine = (initial: RosterState): RosterMachine => {
    const firstIncarnations = new Map(Object.entries(initial.firstIncarnations));
    let hosts = [...initial.hosts];
    let { lastNewHostAt, roster } = initial;

    const isListed = (host: RosterHost): boolean => roster?.hosts.some(listed => isSameHost(listed, host)) === true;

    const recordEnrollment = ({ host, incarnation, at }: Enrollment): void => {
        if (!firstIncarnations.has(host.hostId)) {
            firstIncarnations.set(host.hostId, incarnation);
        }
        if (!hosts.some(known => isSameHost(known, host))) {
            hosts = [...hosts.filter(known => known.hostId !== host.hostId), host];
            lastNewHostAt = at;
        }
    };

    const formRoster = (): void => {
        const earlier = roster === undefined ? [] : [roster.hosts, ...roster.earlier];
        roster = { version: (roster?.version ?? 0) + 1, hosts, earlier };
    };

    const enroll = (enrollment: Enrollment): EnrollmentDecision => {
        recordEnrollment(enrollment);
        const isSettled = enrollment.at - lastNewHostAt >= rosterSettleMs;
        if (isSettled && !isListed(enrollment.host)) {
            formRoster();
        }
        const firstStart = firstIncarnations.get(enrollment.host.hostId) === enrollment.incarnation;
        return { firstStart, roster: isListed(enrollment.host) ? roster : undefined };
    };

    const toState = (): RosterState => ({
        firstIncarnations: Object.fromEntries(firstIncarnations),
        hosts,
        lastNewHostAt,
        roster,
    });

    return { enroll, toState };
};
