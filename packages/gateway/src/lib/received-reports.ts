/** Applies the reports about servers that an entry host receives from its state host. */
import { fromReportRow } from "@cassiapick/core";
import type { ReportRow, ServerPool } from "@cassiapick/core";

/** Applies reports of hosts in the same availability zone, by the short key of each host. */
export const applyZoneReports = (
    pool: ServerPool,
    reports: readonly (readonly [hostKey: number, rows: readonly ReportRow[]])[],
    now: number,
): void => {
    for (const [hostKey, rows] of reports) {
        rows.forEach(row => pool.applyReport(String(hostKey), fromReportRow(row), now));
    }
};

/** Applies failures and hangs that hosts of other availability zones observed. */
export const applyRemoteReports = (pool: ServerPool, rows: readonly ReportRow[], now: number): void =>
    rows.forEach(row => pool.applyRemoteFailures(fromReportRow(row), now));
