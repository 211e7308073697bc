/** The state machine that the log drives: it decides which change wins. */
import { createFleetMachine, emptyFleetState } from "../fleet/fleet-machine.js";
import type { FleetMachine } from "../fleet/fleet-machine.js";
import type { HistoryEntry } from "../state-messages.js";
import { compareVersions, noVersion } from "../tables.js";
import type { VersionedTables } from "../tables.js";
import type { DecidedChange, MachineState, ProposedChange } from "./log-entry.js";
import { createRosterMachine, emptyRosterState } from "./roster-machine.js";
import type { Enrollment, EnrollmentDecision } from "./roster-machine.js";

/** How many decided changes are remembered by id; an older id that is sent again is judged by its expected version. */
export const decidedHorizon = 1024;
/** How many accepted changes the history keeps. */
export const historyHorizon = 256;

/** Applies changes in the order of the log; the same on every host. */
export interface ConfigurationMachine {
    /** Decides a change, or repeats the decision when its id was decided before. */
    apply(change: ProposedChange): DecidedChange;
    /** Decides an enrolment of an entry host. */
    enroll(enrollment: Enrollment): EnrollmentDecision;
    /** The published configuration, the backend servers and the hosts. */
    readonly fleet: FleetMachine;
    decided(changeId: string): DecidedChange | undefined;
    versioned(): VersionedTables;
    /** The latest accepted changes, newest first. */
    history(limit: number): HistoryEntry[];
    toState(): MachineState;
}

/** The state before the first change of an epoch. */
export const createMachineState = (epoch: number): MachineState => ({
    versioned: { version: { ...noVersion, epoch }, tables: { routes: [], pools: [] } },
    winningChangeId: "",
    decided: [],
    history: [],
    roster: emptyRosterState,
});

/** Creates a machine that goes on from `initial`. */
export const createConfigurationMachine = (initial: MachineState): ConfigurationMachine => {
    let versioned = initial.versioned;
    let winningChangeId = initial.winningChangeId;
    // A Map keeps the order of insertion, so its first key is the oldest decision.
    const decisions = new Map(initial.decided.map(decision => [decision.changeId, decision]));
    const history = [...initial.history];
    const roster = createRosterMachine(initial.roster);
    const fleet = createFleetMachine(initial.fleet ?? emptyFleetState);

    const remember = (decision: DecidedChange): DecidedChange => {
        decisions.set(decision.changeId, decision);
        if (decisions.size > decidedHorizon) {
            decisions.delete(decisions.keys().next().value!);
        }
        return decision;
    };

    const accept = (change: ProposedChange): void => {
        const version = { epoch: versioned.version.epoch, index: versioned.version.index + 1 };
        versioned = { version, tables: change.tables };
        winningChangeId = change.changeId;
        history.push({ version, changeId: change.changeId, author: change.author, acceptedAt: change.acceptedAt });
        if (history.length > historyHorizon) {
            history.shift();
        }
    };

    const apply = (change: ProposedChange): DecidedChange => {
        const known = decisions.get(change.changeId);
        if (known !== undefined) {
            return known;
        }
        const won = compareVersions(change.expectedVersion, versioned.version) === 0;
        if (won) {
            accept(change);
        }
        return remember({ changeId: change.changeId, won, version: versioned.version, winningChangeId });
    };

    return {
        apply,
        enroll: enrollment => roster.enroll(enrollment),
        fleet,
        decided: changeId => decisions.get(changeId),
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
