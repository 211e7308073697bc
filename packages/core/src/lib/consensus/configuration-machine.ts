/** Replicated state machine of a state host: applies log entries and decides which table change wins. */
import { createFleetMachine, emptyFleetState } from "../fleet/fleet-machine.js";
import type { FleetMachine } from "../fleet/fleet-machine.js";
import type { HistoryEntry } from "../state-messages.js";
import { compareVersions, noVersion } from "../tables.js";
import type { VersionedTables } from "../tables.js";
import type { ChangeDecision, MachineState, ProposedChange } from "./log-entry.js";
import { createRosterMachine, emptyRosterState } from "./roster-machine.js";
import type { Enrollment, EnrollmentDecision } from "./roster-machine.js";

/** Most decisions kept by change id; a retry with an older id is decided again by its expected version. */
export const maxRememberedDecisions = 1024;
/** Most accepted changes kept in the history. */
export const maxHistoryEntries = 256;

/** Applies changes in log order; deterministic, so that every host reaches the same state. */
export interface ConfigurationMachine {
    /** Decides a change; returns the earlier decision if the change id was decided before. */
    apply(change: ProposedChange): ChangeDecision;
    /** Decides the enrolment of an entry host. */
    enroll(enrollment: Enrollment): EnrollmentDecision;
    /** The state machine of the published configuration, the backend servers and the hosts. */
    readonly fleet: FleetMachine;
    /** The decision on a change id; `undefined` if it is undecided or no longer kept. */
    decision(changeId: string): ChangeDecision | undefined;
    /** The tables in force and their version. */
    versioned(): VersionedTables;
    /** The latest accepted changes, newest first, at most `limit`; a limit below 1 counts as 1. */
    history(limit: number): HistoryEntry[];
    toState(): MachineState;
}

/** Creates the state before the first change of an epoch. */
export const createMachineState = (epoch: number): MachineState => ({
    versioned: { version: { ...noVersion, epoch }, tables: { routes: [], pools: [] } },
    winningChangeId: "",
    decided: [],
    history: [],
    roster: emptyRosterState,
});

/** Creates a state machine that continues from `initial`. */
export const createConfigurationMachine = (initial: MachineState): ConfigurationMachine => {
    let versioned = initial.versioned;
    let winningChangeId = initial.winningChangeId;
    // A Map iterates in insertion order, so its first key is the oldest decision.
    const decisions = new Map(initial.decided.map(decision => [decision.changeId, decision]));
    const history = [...initial.history];
    const roster = createRosterMachine(initial.roster);
    const fleet = createFleetMachine(initial.fleet ?? emptyFleetState);

    const recordDecision = (decision: ChangeDecision): ChangeDecision => {
        decisions.set(decision.changeId, decision);
        if (decisions.size > maxRememberedDecisions) {
            decisions.delete(decisions.keys().next().value!);
        }
        return decision;
    };

    const acceptChange = (change: ProposedChange): void => {
        const version = { epoch: versioned.version.epoch, index: versioned.version.index + 1 };
        versioned = { version, tables: change.tables };
        winningChangeId = change.changeId;
        history.push({ version, changeId: change.changeId, author: change.author, acceptedAt: change.acceptedAt });
        if (history.length > maxHistoryEntries) {
            history.shift();
        }
    };

    const apply = (change: ProposedChange): ChangeDecision => {
        const earlierDecision = decisions.get(change.changeId);
        if (earlierDecision !== undefined) {
            return earlierDecision;
        }
        const won = compareVersions(change.expectedVersion, versioned.version) === 0;
        if (won) {
            acceptChange(change);
        }
        return recordDecision({ changeId: change.changeId, won, version: versioned.version, winningChangeId });
    };

    return {
        apply,
        enroll: enrollment => roster.enroll(enrollment),
        fleet,
        decision: changeId => decisions.get(changeId),
        versioned: () => versioned,
        history: limit => history.slice(-Math.max(limit, 1)).reverse(),
        toState: () => ({
            versioned,
            winningChangeId,
            decided: [...decisions.values()],
            history: [...history],
            roster: roster.toState(),
            fleet: fleet.toState(),
        }),
    };
};
