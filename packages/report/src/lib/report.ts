/** The whole report, as `--json` prints it. */
import type { DestinationBurn } from "./burn-report.js";
import type { Coverage } from "./coverage.js";

/** The burn of all destinations at one time, and how complete the data is. */
export interface Report {
    /** Time of the report, in milliseconds since 1970. */
    madeAt: number;
    coverage: Coverage;
    destinations: DestinationBurn[];
}
