/** Maps the log events of the decision logic to the numbered events of the log. */
import { LogEventKind } from "@cassiapick/core";
import type { EventName } from "@cassiapick/operations";

/** Name in the log of each kind of event. */
export const eventNameByKind: Readonly<Record<LogEventKind, EventName>> = {
    [LogEventKind.ServerJoined]: "serverJoined",
    [LogEventKind.ServerLeft]: "serverLeft",
    [LogEventKind.ServerEjected]: "serverEjected",
    [LogEventKind.ServerReadmitted]: "serverReadmitted",
    [LogEventKind.FloorReached]: "floorReached",
    [LogEventKind.TablesInForce]: "tablesInForce",
    [LogEventKind.HostChanged]: "hostChanged",
    [LogEventKind.RequestQuarantined]: "requestQuarantined",
    [LogEventKind.RequestCleared]: "requestCleared",
};
