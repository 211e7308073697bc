/** Result rows of the detection measurement and their text output. */
import type { DetectionMode } from "@cassiapick/core";
import type { Fault, PoolCondition } from "@cassiapick/proofs";

/** Times from a fault of a server to the last new request that any host sent to it. */
export interface FaultRow {
    fault: Fault;
    runs: number;
    /** Runs in which the owner never suspected the member. */
    missed: number;
    /** Ejections of other members, summed over all runs. */
    falseEjections: number;
    /** In milliseconds; `Infinity` if the fault was not detected. */
    p50Ms: number;
    p99Ms: number;
    /** Target of the 99th percentile, in milliseconds; `undefined` without a target. */
    targetMs: number | undefined;
}

/** False ejections under one condition without a server fault. */
export interface ConditionRow {
    trouble: PoolCondition;
    serverHours: number;
    falseEjections: number;
    /** False ejections per thousand server hours. */
    perThousandHours: number;
}

/** Results of one implementation in one mode. */
export interface DetectionReport {
    version: string;
    mode: DetectionMode;
    faults: FaultRow[];
    troubles: ConditionRow[];
}

const nameColumnWidth = 46;
const columnWidth = 10;

const formatCell = (value: number | string): string => String(value).padStart(columnWidth);

const formatTime = (ms: number): string => formatCell(ms === Infinity ? "never" : `${Math.round(ms)} ms`);

const formatVerdict = (row: FaultRow): string => {
    if (row.targetMs === undefined) {
        return formatCell("-");
    }
    return formatCell(row.p99Ms <= row.targetMs ? "met" : "missed");
};

const renderFaultRow = (row: FaultRow): string =>
    row.fault.padEnd(nameColumnWidth) + formatTime(row.p50Ms) + formatTime(row.p99Ms) + formatVerdict(row)
    + formatCell(`${row.missed}/${row.runs}`)
    + formatCell(row.falseEjections);

const renderConditionRow = (row: ConditionRow): string =>
    row.trouble.padEnd(nameColumnWidth) + formatCell(row.serverHours.toFixed(1)) + formatCell(row.falseEjections)
    + formatCell(row.perThousandHours.toFixed(0));

/** Renders one report as two text tables. */
export const renderDetection = (report: DetectionReport): string =>
    [
        `${report.version}, ${report.mode}: from the fault to the last new request sent there by any host`,
        "fault".padEnd(nameColumnWidth) + ["p50", "p99", "target", "not found", "others"].map(formatCell).join(""),
        ...report.faults.map(renderFaultRow),
        `${report.version}, ${report.mode}: false ejections without a fault`,
        "case".padEnd(nameColumnWidth) + ["hours", "false", "/1000 h"].map(formatCell).join(""),
        ...report.troubles.map(renderConditionRow),
    ].join("\n");
