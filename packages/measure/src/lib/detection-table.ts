/** The figures of detection and how they are printed. */
import type { DetectionMode } from "@cassiapick/core";
import type { Fault, PoolCondition } from "@cassiapick/proofs";

/** Times from a fault to the last new request sent there by any host. */
export interface FaultRow {
    fault: Fault;
    runs: number;
    /** Runs in which the owner never suspected the member. */
    missed: number;
    /** Suspicions of other members, all runs together. */
    falseEjections: number;
    /** In milliseconds; `Infinity` when never found. */
    p50Ms: number;
    p99Ms: number;
    /** What the 99th percentile should be, in milliseconds; `undefined` without a target. */
    targetMs: number | undefined;
}

/** False ejections in one case without a fault. */
export interface TroubleRow {
    trouble: PoolCondition;
    serverHours: number;
    falseEjections: number;
    perThousandHours: number;
}

/** The figures of one version in one mode. */
export interface DetectionReport {
    version: string;
    mode: DetectionMode;
    faults: FaultRow[];
    troubles: TroubleRow[];
}

const nameWidth = 46;
const figureWidth = 10;

const figure = (value: number | string): string => String(value).padStart(figureWidth);

const time = (ms: number): string => figure(ms === Infinity ? "never" : `${Math.round(ms)} ms`);

const verdict = (row: FaultRow): string => {
    if (row.targetMs === undefined) {
        return figure("-");
    }
    return figure(row.p99Ms <= row.targetMs ? "met" : "missed");
};

const faultLine = (row: FaultRow): string =>
    row.fault.padEnd(nameWidth) + time(row.p50Ms) + time(row.p99Ms) + verdict(row) + figure(`${row.missed}/${row.runs}`)
    + figure(row.falseEjections);

const troubleLine = (row: TroubleRow): string =>
    row.trouble.padEnd(nameWidth) + figure(row.serverHours.toFixed(1)) + figure(row.falseEjections)
    + figure(row.perThousandHours.toFixed(0));

/** Prints one report as two tables. */
export const renderDetection = (report: DetectionReport): string =>
    [
        `${report.version}, ${report.mode}: from the fault to the last new request sent there by any host`,
        "fault".padEnd(nameWidth) + ["p50", "p99", "target", "not found", "others"].map(figure).join(""),
        ...report.faults.map(faultLine),
        `${report.version}, ${report.mode}: false ejections without a fault`,
        "case".padEnd(nameWidth) + ["hours", "false", "/1000 h"].map(figure).join(""),
        ...report.troubles.map(troubleLine),
    ].join("\n");
