/** Which numbered event of the log each note of the decisions becomes. */
import { LogEventKind } from "@cassiapick/core";
import type { EventName } from "@cassiapick/operations";

/** The events of the notes. */
export const noteEvents: Readonly<Record<LogEventKind, EventName>> = {
    [LogEventKind.ServerJoined]: "serverJoined",
    [LogEventKind.ServerLeft]: "serverLeft",
    [LogEventKind.ServerEjected]: "serverEjected",
    [LogEventKind.ServerReadmitted]: "serverReadmitted",
    [LogEventKind.FloorReached]: "floorReached",
    [LogEventKind.TablesInForce]: "tablesInForce",
    [LogEventKind.HostChanged]: "hostChanged",
};
