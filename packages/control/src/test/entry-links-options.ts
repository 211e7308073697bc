/** Options of the links of a state host for tests without a clock and without a log. */
import { createEventLog, LogFormat } from "@cassiapick/operations";
import type { EntryLinksOptions } from "../lib/entry-links.js";

/** Returns the options of a state host in `availabilityZone`. */
export const linkOptionsIn = (availabilityZone: string): EntryLinksOptions => ({
    availabilityZone,
    clock: () => 0,
    wallClock: () => 0,
    log: createEventLog({ program: "test", hostId: "k1", format: LogFormat.Json, write: () => undefined }),
});
