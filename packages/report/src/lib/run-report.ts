/** Fetches the counts of the entry hosts, computes the report and renders it. */
import { createEntryClient, readTokenFile } from "@cassiapick/operations";
import type { EntryStatusResult } from "@cassiapick/operations";
import { readFileSync, writeFileSync } from "node:fs";
import { BurnWindow, computeBurn, windowMs } from "./burn-report.js";
import { computeCoverage } from "./coverage.js";
import { parseObjectives } from "./objectives.js";
import type { Objectives } from "./objectives.js";
import { renderSvg } from "./render-svg.js";
import { renderText } from "./render-text.js";
import type { ReportSettings } from "./report-settings.js";
import type { Report } from "./report.js";
import { readSamples, writeSamples } from "./sample-file.js";
import { mergeSamples } from "./samples.js";
import type { HostSample } from "./samples.js";

/** Exit codes, with the same meaning as those of `cassiapick`. */
export enum ReportExitCode {
    Ok = 0,
    Usage = 2,
    Unreachable = 3,
    /** Some hosts could not be asked, or data of some time is missing. */
    Partial = 5,
}

/** The output and exit code of the process. */
export interface ReportOutput {
    code: ReportExitCode;
    out: string;
    err: string;
}

const failWith = (code: ReportExitCode, err: string): ReportOutput => ({ code, out: "", err });

const readObjectives = (settings: ReportSettings): { ok: true; objectives: Objectives; } | { ok: false; message: string; } => {
    const defaultObjective = { target: settings.target, slowIsBad: settings.slowIsBad };
    if (settings.objectives === "") {
        return { ok: true, objectives: { defaultObjective, byDestination: new Map() } };
    }
    const parsed = parseObjectives(readFileSync(settings.objectives, "utf8"), defaultObjective);
    return parsed.ok ? parsed : {
        ok: false,
        message: parsed.message.split("\n").map(line => `${settings.objectives}:${line}`).join("\n"),
    };
};

const fetchStatuses = (settings: ReportSettings): Promise<EntryStatusResult[]> => {
    const hosts = settings.entryHosts.map(({ hostId, host, port }) => ({ hostId, address: `${host}:${port}` }));
    const token = readTokenFile(settings.tokenFile).current;
    return createEntryClient({ hosts, token, timeoutMs: settings.timeoutMs }).fetchFleetStatus();
};

const toSamples = (answer: EntryStatusResult, takenAt: number): HostSample[] =>
    answer.ok
        ? [{
            hostId: answer.hostId,
            incarnation: answer.status.incarnation,
            hostNow: answer.status.now,
            takenAt,
            burn: answer.status.burn,
        }]
        : [];

const createReport = (samples: HostSample[], answers: EntryStatusResult[], objectives: Objectives, now: number): Report => {
    const unanswered = answers.flatMap(answer => answer.ok ? [] : [{ hostId: answer.hostId, message: answer.message }]);
    return {
        madeAt: now,
        coverage: computeCoverage(samples, unanswered, now, windowMs[BurnWindow.SixHours]),
        destinations: computeBurn(samples, objectives, now),
    };
};

const runWithObjectives = async (
    settings: ReportSettings,
    objectives: Objectives,
    clock: () => number,
): Promise<ReportOutput> => {
    const stored = settings.keep === "" ? { ok: true as const, samples: [] } : readSamples(settings.keep);
    if (!stored.ok) {
        return failWith(ReportExitCode.Usage, stored.message);
    }
    const answers = await fetchStatuses(settings);
    const now = clock();
    const newSamples = answers.flatMap(answer => toSamples(answer, now));
    if (newSamples.length === 0) {
        const lines = answers.map(answer => `  ${answer.hostId}: ${answer.ok ? "" : answer.message}`);
        return failWith(ReportExitCode.Unreachable, `No entry host answered. Check --entry-hosts.\n${lines.join("\n")}`);
    }
    const samples = mergeSamples(stored.samples, newSamples, now);
    if (settings.keep !== "") {
        writeSamples(settings.keep, samples);
    }
    const report = createReport(samples, answers, objectives, now);
    if (settings.svg !== "") {
        writeFileSync(settings.svg, renderSvg(report));
    }
    const out = settings.json ? JSON.stringify(report, undefined, 2) : renderText(report);
    return { code: report.coverage.complete ? ReportExitCode.Ok : ReportExitCode.Partial, out, err: "" };
};

/** Creates one report. Never rejects: a file that can't be read or written yields a usage error. */
export const runReport = async (settings: ReportSettings, clock: () => number): Promise<ReportOutput> => {
    try {
        const objectivesRead = readObjectives(settings);
        return objectivesRead.ok
            ? await runWithObjectives(settings, objectivesRead.objectives, clock)
            : failWith(ReportExitCode.Usage, objectivesRead.message);
    }
    catch (err) {
        return failWith(ReportExitCode.Usage, `A file can't be used: ${(err as Error).message}`);
    }
};
