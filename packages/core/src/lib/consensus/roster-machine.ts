/**
 * The part of the state machine that knows which entry hosts take part in claims.
 *
 * The roster changes only here, in the order of the log. A list that hosts may still use stays as an earlier list, so that
 * a claim needs a majority in it too.
 */
import type { EntryRoster, RosterHost } from "../state-messages.js";

/** An entry host says that it has started. */
export interface Enrollment {
    host: RosterHost;
    /** The incarnation of its process. */
    incarnation: number;
    /** Wall-clock time of the leader that took it, in milliseconds since 1970. */
    at: number;
}

/** What an entry host is told. */
export interface EnrollmentDecision {
    /** Whether no earlier process of the host ever took part. */
    firstStart: boolean;
    /** `undefined` while the first roster is not settled; the host then asks again. */
    roster?: EntryRoster;
}

/** The enrolled hosts, in a form for snapshots. */
export interface RosterState {
    /** The incarnation of each host's first process. */
    firstIncarnations: Record<string, number>;
    /** Every host that has enrolled. */
    hosts: RosterHost[];
    lastNewHostAt: number;
    roster?: EntryRoster;
}

/** Decides enrolments; the same on every state host. */
export interface RosterMachine {
    enroll(enrollment: Enrollment): EnrollmentDecision;
    toState(): RosterState;
}

/**
 * A roster forms when no new host has enrolled for this long. Hosts that start together then share one list, in place of
 * one earlier list each.
 */
const quietMs = 1500;

/** The state before the first enrolment. */
export const emptyRosterState: RosterState = { firstIncarnations: {}, hosts: [], lastNewHostAt: 0 };

const sameHost = (a: RosterHost, b: RosterHost): boolean =>
    a.hostId === b.hostId && a.region === b.region && a.availabilityZone === b.availabilityZone;

/** Creates a machine that goes on from `initial`. */
export const createRosterMachine = (initial: RosterState): RosterMachine => {
    const firstIncarnations = new Map(Object.entries(initial.firstIncarnations));
    let hosts = [...initial.hosts];
    let { lastNewHostAt, roster } = initial;

    const isListed = (host: RosterHost): boolean => roster?.hosts.some(listed => sameHost(listed, host)) === true;

    const note = ({ host, incarnation, at }: Enrollment): void => {
        if (!firstIncarnations.has(host.hostId)) {
            firstIncarnations.set(host.hostId, incarnation);
        }
        if (!hosts.some(known => sameHost(known, host))) {
            hosts = [...hosts.filter(known => known.hostId !== host.hostId), host];
            lastNewHostAt = at;
        }
    };

    const form = (): void => {
        const earlier = roster === undefined ? [] : [roster.hosts, ...roster.earlier];
        roster = { version: (roster?.version ?? 0) + 1, hosts, earlier };
    };

    const enroll = (enrollment: Enrollment): EnrollmentDecision => {
        note(enrollment);
        const isQuiet = enrollment.at - lastNewHostAt >= quietMs;
        if (isQuiet && !isListed(enrollment.host)) {
            form();
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
