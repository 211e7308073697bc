/** The whole report against a fake host: coverage, restarts, files and exit codes. */
import { AttemptClass } from "@cassiapick/core";
import type { EntryStatus, PeerStatus } from "@cassiapick/core";
import { expect } from "chai";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseObjectives } from "../lib/objectives.js";
import type { ReportSettings } from "../lib/report-settings.js";
import { ReportExitCode, runReport } from "../lib/run-report.js";

const minuteMs = 60_000;
const start = 1_000_000 * minuteMs;
const version = { epoch: 1, index: 1 };

describe("runReport", () => {
    let folder: string;
    let server: Server;
    let port: number;
    let now: number;
    let status: EntryStatus;

    const bucket = (startMs: number) => ({
        startMs,
        counts: { "completed": 90, "server-error": 10, "not-run": 0, "unknown": 0 },
        slow: 0,
        faults: [{ serverId: "<book-1>", fault: AttemptClass.ServerError, count: 10 }],
    });

    const createStatus = (startedAt: number, startMs: number): EntryStatus => ({
        hostId: "entry-1",
        region: "montreal",
        availabilityZone: "montreal-a",
        callerAddress: "127.0.0.1:1",
        version,
        draining: false,
        startedAt,
        incarnation: startedAt,
        now,
        pools: [],
        peers: [],
        burn: {
            bucketMs: minuteMs,
            keptSince: startedAt,
            series: [{ brand: "oka", destination: "bookings", slowAfterMs: 1000, buckets: [bucket(startMs)] }],
        },
    });

    const run = (overrides: Partial<ReportSettings> = {}) =>
        runReport({
            entryHosts: [{ hostId: "entry-1", host: "127.0.0.1", port }],
            tokenFile: join(folder, "token"),
            objectives: "",
            target: 0.999,
            slowIsBad: true,
            keep: "",
            svg: "",
            json: false,
            timeoutMs: 2000,
            ...overrides,
        }, () => now);

    beforeEach(async () => {
        folder = mkdtempSync(join(tmpdir(), "cassiapick-report-"));
        writeFileSync(join(folder, "token"), "secret\n");
        now = start;
        status = createStatus(start - 400 * minuteMs, start - 2 * minuteMs);
        server = createServer((req, res) => {
            res.statusCode = req.headers.authorization === "Bearer secret" ? 200 : 401;
            res.end(JSON.stringify(status));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        ({ port } = server.address() as AddressInfo);
    });

    afterEach(async () => {
        server.closeAllConnections();
        await new Promise(resolve => server.close(resolve));
        rmSync(folder, { recursive: true });
    });

    it("prints rates, spenders and brands, and writes the SVG file", async () => {
        const svg = join(folder, "burn.svg");
        const output = await run({ svg });
        expect(output.code).to.equal(ReportExitCode.Ok);
        expect(output.out).to.match(/bookings +99\.9 % +fast-burn +100\.0x +100\.0x +100\.0x/);
        expect(output.out).to.match(/100\.0 % +10 +<book-1>: server-error/);
        expect(output.out).to.include("oka (10 of 100 in the last hour)");
        const svgText = readFileSync(svg, "utf8");
        expect(svgText).to.include("FAST BURN").and.include("&lt;book-1&gt;").and.not.include("<book-1>");
    });

    it("prints JSON", async () => {
        const report = JSON.parse((await run({ json: true })).out) as { coverage: object; destinations: object[]; };
        expect(report.coverage).to.include({ asked: 1, complete: true });
        expect(report.destinations[0]).to.include({ destination: "bookings", level: "fast-burn" });
    });

    it("lists the hosts that could not be asked", async () => {
        const peer: PeerStatus = { hostId: "entry-2", alive: true, adminAddress: "127.0.0.1:1", version };
        status = { ...status, peers: [peer] };
        const output = await run();
        expect(output.code).to.equal(ReportExitCode.Partial);
        expect(output.out).to.include("Incomplete: 1 hosts answered, 1 did not.");
        expect(output.out).to.include("entry-2: None of its requests are counted.");
    });

    it("reports that a process started within the window", async () => {
        status = createStatus(start - 30 * minuteMs, start - 2 * minuteMs);
        const output = await run();
        expect(output.code).to.equal(ReportExitCode.Partial);
        expect(output.out).to.include("entry-1: It started 30 min ago");
    });

    it("keeps the counts of a process that restarted, and reports the time that may be lost", async () => {
        const keep = join(folder, "keep.json");
        expect((await run({ keep })).code).to.equal(ReportExitCode.Ok);
        now = start + 20 * minuteMs;
        status = createStatus(start + 5 * minuteMs, start + 18 * minuteMs);
        const output = await run({ keep });
        expect(output.code).to.equal(ReportExitCode.Partial);
        expect(output.out).to.match(/bookings .* 20 +200\n/);
        expect(output.out).to.include("entry-1: It restarted; up to 5 min before the restart are not counted.");
    });

    const failureCases: Array<
        { name: string; overrides: () => Partial<ReportSettings>; code: ReportExitCode; expectedText: string; }
    > = [
        {
            name: "no host",
            overrides: () => ({ entryHosts: [{ hostId: "e", host: "127.0.0.1", port: 1 }] }),
            code: ReportExitCode.Unreachable,
            expectedText: "No entry host answered",
        },
        {
            name: "no token file",
            overrides: () => ({ tokenFile: join(folder, "none") }),
            code: ReportExitCode.Usage,
            expectedText: "A file can't be used",
        },
        {
            name: "a wrong token",
            overrides: () => ({ tokenFile: write("wrong", "nonsense") }),
            code: ReportExitCode.Unreachable,
            expectedText: "refused the token",
        },
        {
            name: "an invalid objectives file",
            overrides: () => ({ objectives: write("o.yaml", "format: 1\nobjectives:\n  - { destination: x, tarjet: 1 }\n") }),
            code: ReportExitCode.Usage,
            expectedText: "o.yaml:3:5: The field 'tarjet' is not known. Did you mean 'target'?",
        },
        {
            name: "a --keep file with other contents",
            overrides: () => ({ keep: write("k.json", "{}") }),
            code: ReportExitCode.Usage,
            expectedText: "holds no samples",
        },
    ];
    const write = (name: string, text: string): string => {
        const path = join(folder, name);
        writeFileSync(path, text);
        return path;
    };
    for (const { name, overrides, code, expectedText } of failureCases) {
        it(`fails with ${name}`, async () => {
            const output = await run(overrides());
            expect(output).to.include({ code, out: "" });
            expect(output.err).to.include(expectedText);
        });
    }

    const objectivesCases: Array<{ text: string; expectedText: string; }> = [
        { text: "format: 2\nobjectives: []", expectedText: "1:9: Expected 'format: 1'." },
        {
            text: "format: 1\nobjectives:\n  - { destination: a, target: 1 }",
            expectedText: "3:31: Expected a share above 0 and below 1",
        },
        { text: "format: 1\nobjectives:\n  - destination: a\n  - destination: a", expectedText: "4:5: 'a' is listed twice." },
        { text: "format: 1\nobjectives: [", expectedText: "2:14: The file is not valid YAML" },
    ];
    for (const { text, expectedText } of objectivesCases) {
        it(`rejects objectives with '${expectedText}'`, () => {
            expect(parseObjectives(text, { target: 0.9, slowIsBad: true })).to.have.property("message").that.includes(
                expectedText,
            );
        });
    }
});
