/** Asks the hosts, computes the report and renders it. */
import { createEntryClient, readTokenFile } from "@cassiapick/operations";
import type { EntryAnswer } from "@cassiapick/operations";
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

/** Exit codes; the same numbers mean the same in `cassiapick`. */
export enum ReportExitCode {
    Ok = 0,
    Usage = 2,
    Unreachable = 3,
    /** Some hosts could not be asked or some time is missing. */
    Partial = 5,
}

/** What the program writes before it ends. */
export interface ReportOutput {
    code: ReportExitCode;
    out: string;
    err: string;
}

const failWith = (code: ReportExitCode, err: string): ReportOutput => ({ code, out: "", err });

const readObjectives = (settings: ReportSettings): { ok: true; objectives: Objectives; } | { ok: false; message: string; } => {
    const standard = { target: settings.target, slowIsBad: settings.slowIsBad };
    if (settings.objectives === "") {
        return { ok: true, objectives: { standard, byDestination: new Map() } };
    }
    const parsed = parseObjectives(readFileSync(settings.objectives, "utf8"), standard);
    return parsed.ok ? parsed : {
        ok: false,
        message: parsed.message.split("\n").map(line => `${settings.objectives}:${line}`).join("\n"),
    };
};

const askHosts = (settings: ReportSettings): Promise<EntryAnswer[]> => {
    const hosts = settings.entryHosts.map(({ hostId, host, port }) => ({ hostId, address: `${host}:${port}` }));
    const token = readTokenFile(settings.tokenFile).current;
    return createEntryClient({ hosts, token, timeoutMs: settings.timeoutMs }).askFleet();
};

const toSample = (answer: EntryAnswer, takenAt: number): HostSample[] =>
    answer.ok
        ? [{
            hostId: answer.hostId,
            incarnation: answer.status.incarnation,
            hostNow: answer.status.now,
            takenAt,
            burn: answer.status.burn,
        }]
        : [];

const createReport = (samples: HostSample[], answers: EntryAnswer[], objectives: Objectives, now: number): Report => {
    const silent = answers.flatMap(answer => answer.ok ? [] : [{ hostId: answer.hostId, message: answer.message }]);
    return {
        madeAt: now,
        coverage: computeCoverage(samples, silent, now, windowMs[BurnWindow.SixHours]),
        destinations: computeBurn(samples, objectives, now),
    };
};

const runWithObjectives = async (
    settings: ReportSettings,
    objectives: Objectives,
    clock: () => number,
): Promise<ReportOutput> => {
    const kept = settings.keep === "" ? { ok: true as const, samples: [] } : readSamples(settings.keep);
    if (!kept.ok) {
        return failWith(ReportExitCode.Usage, kept.message);
    }
    const answers = await askHosts(settings);
    const now = clock();
    const fresh = answers.flatMap(answer => toSample(answer, now));
    if (fresh.length === 0) {
        const lines = answers.map(answer => `  ${answer.hostId}: ${answer.ok ? "" : answer.message}`);
        return failWith(ReportExitCode.Unreachable, `No entry host answered. Check --entry-hosts.\n${lines.join("\n")}`);
    }
    const samples = mergeSamples(kept.samples, fresh, now);
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

/** Makes one report. Never rejects: a file that can't be read or written is told. */
export const runReport = async (settings: ReportSettings, clock: () => number): Promise<ReportOutput> => {
    try {
        const read = readObjectives(settings);
        return read.ok
            ? await runWithObjectives(settings, read.objectives, clock)
            : failWith(ReportExitCode.Usage, read.message);
    }
    catch (err) {
        return failWith(ReportExitCode.Usage, `A file can't be used: ${(err as Error).message}`);
    }
};
