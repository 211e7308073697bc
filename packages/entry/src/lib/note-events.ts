/** Which numbered event of the log each note of the decisions becomes. */
import { NoteKind } from "@cassiapick/core";
import type { EventName } from "@cassiapick/operations";

/** The events of the notes. */
export const noteEvents: Readonly<Record<NoteKind, EventName>> = {
    [NoteKind.ServerJoined]: "serverJoined",
    [NoteKind.ServerLeft]: "serverLeft",
    [NoteKind.ServerEjected]: "serverEjected",
    [NoteKind.ServerReadmitted]: "serverReadmitted",
    [NoteKind.FloorReached]: "floorReached",
    [NoteKind.TablesInForce]: "tablesInForce",
    [NoteKind.HostChanged]: "hostChanged",
};
