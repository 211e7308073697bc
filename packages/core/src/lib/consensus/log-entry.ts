/** What the replicated log and the disk of a state host hold. */
import type { Fact } from "../fleet/facts.js";
import type { FleetState, Published } from "../fleet/fleet-machine.js";
import type { HistoryEntry } from "../state-messages.js";
import type { Tables, Version, VersionedTables } from "../tables.js";
import type { Enrollment, RosterState } from "./roster-machine.js";

export enum EntryKind {
    /** Opens a leader's term, so that it can commit what earlier leaders left. */
    Noop = "noop",
    Change = "change",
    /** An entry host has started. */
    Enroll = "enroll",
    /** A configuration with a number that its operator chose. */
    Publish = "publish",
    /** What state hosts learned of backend servers and hosts. */
    Facts = "facts",
    /** Takes the lost disk of a host out of the voters. */
    RemoveVoter = "remove-voter",
    /** Makes the new disk of a host a voter. */
    AddVoter = "add-voter",
}

/** A proposed change of both tables; whether it wins is decided when its entry is applied. */
export interface ProposedChange {
    changeId: string;
    expectedVersion: Version;
    tables: Tables;
    author: string;
    /** Wall-clock time of the leader that took it, in milliseconds since 1970. */
    acceptedAt: number;
}

export type EntryBody =
    | { kind: EntryKind.Noop; }
    | { kind: EntryKind.Change; change: ProposedChange; }
    | { kind: EntryKind.Enroll; enrollment: Enrollment; }
    | { kind: EntryKind.Publish; published: Published; }
    | { kind: EntryKind.Facts; facts: Fact[]; }
    | { kind: EntryKind.RemoveVoter; hostId: string; }
    | { kind: EntryKind.AddVoter; hostId: string; incarnation: number; };

/** One position of the log. */
export interface LogEntry {
    /** Starts at 1. */
    index: number;
    term: number;
    body: EntryBody;
}

/** The voters: the incarnation of the disk of each host that votes. */
export type Voters = Readonly<Record<string, number>>;

/** The incarnation of every disk of the first start. */
export const firstIncarnation = 1;

/** What a state host must remember about votes; synced before any message that depends on it. */
export interface HardState {
    /** Names the disk: a host that lost its disk comes back with another one. */
    incarnation: number;
    /** Whether the disk belongs to a first start that waits for every other host. */
    founding: boolean;
    term: number;
    votedFor?: string;
}

/** Whether a decided change won, and which version was in force after it. */
export interface DecidedChange {
    changeId: string;
    won: boolean;
    version: Version;
    /** The change that made `version`. */
    winningChangeId: string;
}

/** The state that applied entries have built. */
export interface MachineState {
    versioned: VersionedTables;
    /** The change that made the version in force. */
    winningChangeId: string;
    /** The latest decided changes, oldest first. */
    decided: DecidedChange[];
    /** The latest accepted changes, oldest first. */
    history: HistoryEntry[];
    roster: RosterState;
    /** Absent in snapshots of versions that knew no fleet view. */
    fleet?: FleetState;
}

/** Replaces the log up to and including `index`. */
export interface Snapshot {
    index: number;
    term: number;
    voters: Voters;
    machine: MachineState;
}

/** What a disk held when the process started. */
export interface StoredState {
    hardState: HardState;
    snapshot?: Snapshot;
    /** The entries after the snapshot, without gaps. */
    entries: LogEntry[];
}
