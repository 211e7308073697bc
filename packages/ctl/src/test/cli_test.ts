/** Tests of the command line against fake state and entry hosts. */
import { StateReplyKind, StateRequestKind } from "@cassiapick/core";
import type { StateRequest, Version } from "@cassiapick/core";
import { expect } from "chai";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { runCli } from "../lib/cli.js";
import { ExitCode } from "../lib/exit-code.js";
import { renderOutcome } from "../lib/output.js";
import type { ProcessOutput } from "../lib/output.js";
import { createFakeStore, leaderReply, startFakeEntryHost, startFakeStateHost, token } from "./fakes.js";
import type { FakeHost, FakeStore } from "./fakes.js";

const routesText = "format: 1\nroutes:\n  - { brand: oka, kind: seat-maps, destination: seat-maps }\n";
const poolsText = "format: 1\npools:\n  - { destination: seat-maps, service: seat-maps }\n";

describe("cassiapick", () => {
    let folder: string;
    let store: FakeStore;
    let fakes: FakeHost[];

    const write = (name: string, text: string | Buffer): string => {
        const path = join(folder, name);
        writeFileSync(path, text);
        return path;
    };

    beforeEach(() => {
        folder = mkdtempSync(join(tmpdir(), "cassiapick-ctl-"));
        store = createFakeStore();
        fakes = [];
        write("token", `${token}\n`);
        write("routes.yaml", routesText);
        write("pools.yaml", poolsText);
        write("latin1.yaml", Buffer.from(routesText.replace("oka", "\u00f3ka"), "latin1"));
        write("no-routes.yaml", "format: 1\nroutes: []\n");
    });

    afterEach(async () => {
        await Promise.all(fakes.map(fake => fake.close()));
        rmSync(folder, { recursive: true });
    });

    const startStates = async (...replies: Array<Parameters<typeof startFakeStateHost>[0]>): Promise<string> => {
        const started = await Promise.all(replies.map(reply => startFakeStateHost(reply)));
        fakes.push(...started);
        return started.map((fake, index) => `state-${index + 1}=127.0.0.1:${fake.port}`).join(",");
    };

    const run = async (line: string, flags: string[] = []): Promise<ProcessOutput> => {
        const args = line.split(" ").map(arg => arg.endsWith(".yaml") ? join(folder, arg) : arg);
        return renderOutcome(await runCli([...args, ...flags, "--token-file", join(folder, "token")], {}));
    };

    const leader = (request: StateRequest) => leaderReply(store, request);

    const usageCases: Array<{ line: string; code: ExitCode; expectedText: string; }> = [
        { line: "tables check routes.yaml pools.yaml", code: ExitCode.Ok, expectedText: "1 routes of 1 brands, 1 pools" },
        { line: "tables check pools.yaml routes.yaml", code: ExitCode.Usage, expectedText: "may be swapped" },
        { line: "tables check none.yaml pools.yaml", code: ExitCode.Usage, expectedText: "can't be read" },
        { line: "tables check latin1.yaml pools.yaml", code: ExitCode.Usage, expectedText: "is not valid UTF-8" },
        { line: "tables chek routes.yaml pools.yaml", code: ExitCode.Usage, expectedText: "Did you mean 'check'?" },
        { line: "tables", code: ExitCode.Usage, expectedText: "Name one of: check" },
        { line: "hosts", code: ExitCode.Usage, expectedText: "--state-hosts" },
        { line: "hosts --jsn", code: ExitCode.Usage, expectedText: "Did you mean 'json'?" },
        { line: "pools", code: ExitCode.Usage, expectedText: "--entry-hosts" },
        { line: "tables wait latest --entry-hosts e=127.0.0.1:1", code: ExitCode.Usage, expectedText: "is not a version" },
        { line: "tables show --state-hosts nonsense", code: ExitCode.Usage, expectedText: "'nonsense' is not 'name=host:port'" },
        {
            line: "tables show --timeout-ms 0 --state-hosts s=127.0.0.1:1",
            code: ExitCode.Usage,
            expectedText: "--timeout-ms expects",
        },
        {
            line: "tables show --timeout-ms 50 --state-hosts s=127.0.0.1:1",
            code: ExitCode.Unreachable,
            expectedText: "s: There is no connection",
        },
        { line: "pools --entry-hosts e=127.0.0.1:1", code: ExitCode.Unreachable, expectedText: "No entry host answered" },
        { line: "--help", code: ExitCode.Ok, expectedText: "Exit codes:" },
    ];
    for (const { line, code, expectedText } of usageCases) {
        it(`exits with ${code} for '${line}'`, async () => {
            const output = await run(line);
            expect(output.code).to.equal(code);
            expect(output.out + output.err).to.include(expectedText);
        });
    }

    it("applies, shows, compares and lists", async () => {
        const hosts = ["--state-hosts", await startStates(leader)];
        const applied = await run("tables apply routes.yaml pools.yaml --author ana --change-id first", hosts);
        expect(applied).to.deep.include({ code: ExitCode.Ok, err: "" });
        expect(applied.out).to.match(/\+ pools seat-maps .*\n\+ routes oka\/seat-maps .*\n2 added.*\nApplied as version 1\.1\./);
        expect((await run("tables show --table routes", hosts)).out).to.include("brand: oka");
        expect((await run("tables diff routes.yaml pools.yaml", hosts)).out).to.include("No change.");
        expect((await run("tables history", hosts)).out).to.match(/1\.1 .* ana +first/);
        expect((await run("tables apply routes.yaml pools.yaml", hosts)).out).to.include("in force already");
        expect(store.applied).to.have.length(1);
    });

    it("sends the token of --state-token-file to state hosts", async () => {
        const hosts = ["--timeout-ms", "1000", "--state-hosts", await startStates(leader)];
        const wrong = ["--state-token-file", write("wrong", "nonsense")];
        const refused = await run("tables history", [...hosts, ...wrong]);
        expect(refused.code).to.equal(ExitCode.Unreachable);
        expect(refused.err).to.include("compare the token files");
        expect((await run("tables history", [...hosts, "--state-token-file", join(folder, "token")])).code).to.equal(ExitCode.Ok);
    });

    it("refuses to remove rows without --allow-removal", async () => {
        const hosts = ["--state-hosts", await startStates(leader)];
        await run("tables apply routes.yaml pools.yaml", hosts);
        const refused = await run("tables apply no-routes.yaml pools.yaml", hosts);
        expect(refused.code).to.equal(ExitCode.Refused);
        expect(refused.err).to.include("- routes oka/seat-maps").and.include("--allow-removal");
        expect((await run("tables apply no-routes.yaml pools.yaml --allow-removal", hosts)).code).to.equal(ExitCode.Ok);
    });

    it("reports the winning change of a conflict", async () => {
        const hosts = ["--state-hosts", await startStates(leader)];
        await run("tables apply routes.yaml pools.yaml --change-id winner", hosts);
        const lost = await run("tables apply no-routes.yaml pools.yaml --expected-version 0.0 --json", hosts);
        expect(lost.code).to.equal(ExitCode.Refused);
        expect(JSON.parse(lost.out)).to.have.property("error").that.deep.includes({
            kind: "conflict",
            version: "1.1",
            winningChangeId: "winner",
        });
    });

    it("redirects to the leader and resends the same change after a lost reply", async () => {
        let applyRequests = 0;
        const dropFirstApplyReply = (request: StateRequest) => {
            const reply = leader(request);
            applyRequests += request.kind === StateRequestKind.Apply ? 1 : 0;
            return request.kind === StateRequestKind.Apply && applyRequests === 1 ? undefined : reply;
        };
        const follower = () => ({ kind: StateReplyKind.NotLeader, leaderId: "state-3", message: "Ask state-3." }) as const;
        const unavailable = () => ({ kind: StateReplyKind.Unavailable, retryAfterMs: 1, message: "No quorum." }) as const;
        const hosts = ["--timeout-ms", "4000", "--state-hosts", await startStates(follower, unavailable, dropFirstApplyReply)];
        const applied = await run("tables apply routes.yaml pools.yaml", hosts);
        expect(applied.code).to.equal(ExitCode.Ok);
        expect(store.history).to.have.length(1);
        expect(store.applied.map(request => "changeId" in request && request.changeId))
            .to.deep.equal([store.history[0]!.changeId, store.history[0]!.changeId]);
    });

    it("prints how to resend a change when no reply arrives", async () => {
        const dropApplyReplies = (request: StateRequest) => request.kind === StateRequestKind.Apply ? undefined : leader(request);
        const hosts = ["--timeout-ms", "2000", "--state-hosts", await startStates(dropApplyReplies)];
        const unknown = await run("tables apply routes.yaml pools.yaml --change-id again", hosts);
        expect(unknown.code).to.equal(ExitCode.Unreachable);
        expect(unknown.err).to.include("--change-id again --expected-version 0.0");
    });

    it("discovers entry hosts through their peers and reports which could not be asked", async () => {
        let version: Version = { epoch: 1, index: 1 };
        const second = await startFakeEntryHost(() => ({ hostId: "entry-2", version, pools: [] }));
        const peers = [
            { hostId: "entry-2", alive: true, adminAddress: `127.0.0.1:${second.port}`, version },
            { hostId: "entry-3", alive: false, adminAddress: "127.0.0.1:1", version },
        ];
        const first = await startFakeEntryHost(() => ({ version: { epoch: 1, index: 2 }, peers }));
        fakes.push(first, second);
        const hosts = ["--timeout-ms", "2000", "--entry-hosts", `entry-1=127.0.0.1:${first.port}`];
        const status = await run("tables status", hosts);
        expect(status.code).to.equal(ExitCode.Partial);
        expect(status.out).to.include("Newest version 1.2: 1 hosts have it, 1 are behind, 1 could not be asked.");
        expect((await run("tables wait 1.2", hosts)).code).to.equal(ExitCode.NotYet);
        peers.pop();
        version = { epoch: 1, index: 2 };
        expect((await run("tables wait 1.2", hosts)).out).to.include("in force on all 2 entry hosts");
        const pool = await run("pools seat-maps", hosts);
        expect(pool.code).to.equal(ExitCode.Ok);
        expect(pool.out).to.match(/map-1 .* ejected .* 7\.5 +It answers 9 times slower/);
        expect((await run("pools seat-map", hosts)).err).to.include("No host has a pool 'seat-map'");
        expect((await run("addresses --brand oka --kind seat-maps", hosts)).out).to.include("127.0.0.1:80");
    });
});
