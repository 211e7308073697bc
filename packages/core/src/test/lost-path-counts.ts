/** How connections fare, and what is counted of them, in a simulated fleet whose hosts lose their path to backend servers. */
import { Connection } from "./lost-path-scenario.js";
import type { ConnectionTally, Outcome, SimulatedHost } from "./lost-path-scenario.js";

export const cutFromMs = 4000;
export const cutUntilMs = 12_000;
/** Time in which a connection is established while it is slow. */
export const slowAcceptMs = 230;
const pathChangeWindowMs = 10_000;

export const emptyOutcome = (): Outcome => ({
    atCut: { sent: 0, served: 0 },
    atOthers: { sent: 0, served: 0 },
    afterReturn: { sent: 0, served: 0 },
    forwardedAfterReturn: 0,
    namedCutHosts: 0,
    mostRuns: 0,
    calm: { requests: 0, trials: 0 },
    duringCut: { requests: 0, trials: 0 },
    mostPathChanges: 0,
    longestRefusalMs: 0,
});

export const isEstablished = (connection: Connection): boolean =>
    connection === Connection.Established || connection === Connection.Slow;

/** When a trial connection ends, and whether it is established; `roundTripMs` is the time that an undisturbed one takes. */
export const trialResult = (
    connection: Connection,
    roundTripMs: number,
    timeoutMs: number,
): { delayMs: number; isConnected: boolean; } => {
    const delaysMs: Record<Connection, number> = {
        [Connection.Established]: roundTripMs,
        [Connection.Refused]: roundTripMs,
        [Connection.Hanging]: timeoutMs,
        [Connection.Slow]: slowAcceptMs,
    };
    const delayMs = Math.min(timeoutMs, delaysMs[connection]);
    return { delayMs, isConnected: isEstablished(connection) && delayMs < timeoutMs };
};

/** Returns where connections at `now` are counted; those after the cut are not. */
export const connectionTallyAt = (outcome: Outcome, now: number): ConnectionTally | undefined => {
    if (now < cutFromMs) {
        return outcome.calm;
    }
    return now < cutUntilMs ? outcome.duringCut : undefined;
};

export const countTrial = (tally: ConnectionTally | undefined): void => {
    if (tally !== undefined) {
        tally.trials += 1;
    }
};

export const countRequest = (tally: ConnectionTally | undefined): void => {
    if (tally !== undefined) {
        tally.requests += 1;
    }
};

/** Returns the most changes of one path of one host within the window. */
export const mostPathChanges = (hosts: readonly SimulatedHost[]): number =>
    Math.max(
        0,
        ...hosts.flatMap(host =>
            [...host.pathChanges.values()].flatMap(changes =>
                changes.map(at => changes.filter(other => other >= at && other < at + pathChangeWindowMs).length)
            )
        ),
    );
