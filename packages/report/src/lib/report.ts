/** The whole report, as `--json` prints it. */
import type { DestinationBurn } from "./burn-report.js";
import type { Coverage } from "./coverage.js";

/** What the report knows at one time. */
export interface Report {
    /** When it was made, in milliseconds since 1970. */
    madeAt: number;
    coverage: Coverage;
    destinations: DestinationBurn[];
}
