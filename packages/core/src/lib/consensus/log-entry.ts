/** Types of the replicated log and of the persistent state of a state host. */
import type { Fact } from "../fleet/facts.js";
import type { FleetState, PublishedConfiguration } from "../fleet/fleet-machine.js";
import type { HistoryEntry } from "../state-messages.js";
import type { Tables, Version, VersionedTables } from "../tables.js";
import type { Enrollment, RosterState } from "./roster-machine.js";

export enum EntryKind {
    /** First entry of a leader's term; committing it commits the entries of earlier terms. */
    Noop = "noop",
    /** Proposes a change of both tables. */
    Change = "change",
    /** Enrolls an entry host that has started. */
    Enroll = "enroll",
    /** Publishes a configuration under a number chosen by its operator. */
    Publish = "publish",
    /** Facts that state hosts report about backend servers and hosts. */
    Facts = "facts",
    /** Removes a host from the voters, because its disk was lost or it was absent for too long. */
    RemoveVoter = "remove-voter",
    /** Makes a host with a new disk a voter. */
    AddVoter = "add-voter",
}

/** A proposed change of both tables; it is accepted or rejected when its entry is applied. */
export interface ProposedChange {
    changeId: string;
    expectedVersion: Version;
    tables: Tables;
    author: string;
    /** Wall-clock time of the leader when it proposed the change, in milliseconds since 1970; recorded if it is accepted. */
    acceptedAt: number;
}

export type EntryBody =
    | { kind: EntryKind.Noop; }
    | { kind: EntryKind.Change; change: ProposedChange; }
    | { kind: EntryKind.Enroll; enrollment: Enrollment; }
    | { kind: EntryKind.Publish; published: PublishedConfiguration; }
    | { kind: EntryKind.Facts; facts: Fact[]; }
    | { kind: EntryKind.RemoveVoter; hostId: string; }
    /** `incarnation` is that of the disk. */
    | { kind: EntryKind.AddVoter; hostId: string; incarnation: number; };

/** One entry of the log. */
export interface LogEntry {
    /** Position in the log, starting at 1. */
    index: number;
    term: number;
    body: EntryBody;
}

/** The voters: the incarnation of the disk of each, by host id. */
export type Voters = Readonly<Record<string, number>>;

/** The incarnation of every disk that takes part in the bootstrap. */
export const bootstrapIncarnation = 1;

/** Persistent vote state of a state host (Raft hard state); synced before any message that depends on it. */
export interface HardState {
    /** Identifies the disk: a host that lost its disk returns with a new incarnation. */
    incarnation: number;
    /** Whether the disk takes part in a bootstrap that is waiting for the other hosts. */
    founding: boolean;
    term: number;
    votedFor?: string;
}

/** The decision on a change: whether it was accepted, and which version was in force afterwards. */
export interface ChangeDecision {
    changeId: string;
    /** Whether the change was accepted. */
    won: boolean;
    version: Version;
    /** Id of the change that created `version`. */
    winningChangeId: string;
}

/** The whole replicated state for snapshots: the configuration, the roster and the fleet. */
export interface MachineState {
    versioned: VersionedTables;
    /** Id of the change that created the version in force. */
    winningChangeId: string;
    /** The latest decided changes, oldest first. */
    decided: ChangeDecision[];
    /** The latest accepted changes, oldest first. */
    history: HistoryEntry[];
    roster: RosterState;
    /** Absent in snapshots written by releases that replicated no published configuration, backend servers and hosts. */
    fleet?: FleetState;
}

/** Replaces the log up to and including `index`. */
export interface Snapshot {
    index: number;
    term: number;
    voters: Voters;
    machine: MachineState;
}

/** The persistent state read at process start. */
export interface StoredState {
    hardState: HardState;
    snapshot?: Snapshot;
    /** The entries after the snapshot, without gaps. */
    entries: LogEntry[];
}
