import { expect } from "chai";
import { Access, applyDelta, createWorkspaceIndex, decideAccess, DenialReason, diffConfig } from "../index.js";
import type { AccessLimits, GatewayConfig, ViewState, Workspace } from "../index.js";

const workspace = (name: string, keyDigests: string[], change: Partial<Workspace> = {}): Workspace => ({
    name,
    keyDigests,
    burst: 0,
    ...change,
});

describe("workspace index", () => {
    const index = createWorkspaceIndex([
        workspace("one", ["abcdef", "abcxyz"]),
        workspace("two", ["abcdeg", "q"]),
        workspace("none", []),
    ]);
    const cases: [keyDigest: string, expected: string | undefined][] = [
        ["abcdef", "one"],
        ["abcxyz", "one"],
        ["abcdeg", "two"],
        ["q", "two"],
        ["abcdeh", undefined],
        ["abcde", undefined],
        ["abcdeff", undefined],
        ["abc", undefined],
        ["qq", undefined],
        ["", undefined],
    ];
    for (const [keyDigest, expected] of cases) {
        it(`finds ${expected ?? "no workspace"} for '${keyDigest}'`, () => {
            expect(index.find(keyDigest)?.name).to.equal(expected);
        });
    }
});

describe("access decisions", () => {
    const workspaces = createWorkspaceIndex([workspace("one", ["held"])]);
    const lenient: AccessLimits = { applyWithinMs: 2500, revokeWithinMs: 5000, refusesOldViews: false };
    const strict: AccessLimits = { ...lenient, refusesOldViews: true };
    const view = (ageMs: number, requestAgeMs: number, mayWait = true): ViewState => ({ ageMs, requestAgeMs, mayWait });
    const recent = view(300, 0);

    interface Case {
        name: string;
        key?: string;
        isOpen?: boolean;
        isPublicRoute?: boolean;
        view: ViewState;
        limits?: AccessLimits;
        expected: Access;
        reason?: DenialReason;
        workspaceName?: string;
    }
    const cases: Case[] = [
        { name: "a key that is there", key: "held", view: recent, expected: Access.Granted, workspaceName: "one" },
        {
            name: "a key that is there, under an old view",
            key: "held",
            view: view(60_000, 0),
            expected: Access.Granted,
            workspaceName: "one",
        },
        {
            name: "a key that is there, under a view that was never confirmed",
            key: "held",
            view: view(Infinity, 0, false),
            expected: Access.Unsure,
            reason: DenialReason.OldView,
        },
        {
            name: "a key that is there, under an old view of a host that refuses these",
            key: "held",
            view: view(5001, 0),
            limits: strict,
            expected: Access.Unsure,
            reason: DenialReason.OldView,
        },
        {
            name: "a key that is there, under a view that is just recent enough for a host that refuses old ones",
            key: "held",
            view: view(5000, 0),
            limits: strict,
            expected: Access.Granted,
            workspaceName: "one",
        },
        {
            name: "a key that is there, on a host that was paused a moment ago",
            key: "held",
            view: { ...view(3000, 0, false), isCatchingUp: true },
            expected: Access.Unsure,
            reason: DenialReason.OldView,
        },
        {
            name: "an unknown key, under a view that is older than the request",
            key: "other",
            view: recent,
            expected: Access.Unsure,
            reason: DenialReason.UnknownKey,
        },
        {
            name: "an unknown key, under a view that was confirmed after the request arrived",
            key: "other",
            view: view(300, 301),
            expected: Access.Denied,
            reason: DenialReason.UnknownKey,
        },
        {
            name: "an unknown key that can't wait, under a recent view",
            key: "other",
            view: view(2500, 0, false),
            expected: Access.Denied,
            reason: DenialReason.UnknownKey,
        },
        {
            name: "an unknown key that can't wait, under a view that can't prove that it is missing",
            key: "other",
            view: view(2501, 1000, false),
            expected: Access.Unsure,
            reason: DenialReason.UnknownKey,
        },
        { name: "no key", view: view(0, 0), expected: Access.Denied, reason: DenialReason.NoKey },
        { name: "no key on a public route", isPublicRoute: true, view: view(Infinity, 0), expected: Access.Granted },
        { name: "an unknown key on a public route", key: "other", isPublicRoute: true, view: recent, expected: Access.Granted },
        {
            name: "a key that is there on a public route",
            key: "held",
            isPublicRoute: true,
            view: recent,
            expected: Access.Granted,
            workspaceName: "one",
        },
        {
            name: "any key while no keys are needed",
            key: "held",
            isOpen: true,
            view: view(Infinity, 0),
            expected: Access.Granted,
        },
    ];
    for (const { name, key, isOpen = false, isPublicRoute = false, view: viewState, limits = lenient, ...expected } of cases) {
        it(`for ${name}: ${expected.expected}`, () => {
            const query = { workspaces: isOpen ? undefined : workspaces, isPublicRoute, keyDigest: key };
            const decision = decideAccess(query, viewState, limits);
            expect(decision.access).to.equal(expected.expected);
            expect("reason" in decision ? decision.reason : undefined).to.equal(expected.reason);
            const workspaceName = decision.access === Access.Granted ? decision.workspace?.name : undefined;
            expect(workspaceName).to.equal(expected.workspaceName);
        });
    }
});

describe("differences of workspaces", () => {
    const config = (number: number, workspaces?: Workspace[]): GatewayConfig => ({
        number,
        routes: [],
        services: [],
        limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
        ...(workspaces === undefined ? {} : { workspaces }),
    });
    const sorted = (list: Workspace[] | undefined): Workspace[] | undefined =>
        list === undefined ? undefined : [...list].sort((a, b) => a.name.localeCompare(b.name));
    const one = workspace("one", ["a"], { priority: 1, ratePerS: 5, burst: 5 });
    const two = workspace("two", ["b", "c"]);
    const cases: [name: string, base: Workspace[] | undefined, next: Workspace[] | undefined, sent: string[]][] = [
        ["nothing", [one, two], [one, two], []],
        ["the order only", [one, two], [two, one], []],
        ["a key", [one, two], [one, workspace("two", ["b"])], ["two"]],
        ["a quota", [one, two], [{ ...one, ratePerS: 4 }, two], ["one"]],
        ["a workspace that is gone", [one, two], [two], ["one"]],
        ["a workspace that is new", [one], [one, two], ["two"]],
        ["a key that moves to another workspace", [one, two], [workspace("one", ["a", "c"]), workspace("two", ["b"])], [
            "one",
            "two",
        ]],
        ["the first workspaces", undefined, [one, two], ["one", "two"]],
        ["an empty table after none", undefined, [], []],
        ["no table after one", [one], undefined, []],
        ["no table after none", undefined, undefined, []],
    ];
    for (const [name, base, next, sent] of cases) {
        it(`carry ${name}`, () => {
            const delta = diffConfig(config(3, base), config(4, next));
            const names = [...(delta.changedWorkspaces ?? []).map(changed => changed.name), ...delta.removedWorkspaces ?? []];
            expect(names.sort()).to.deep.equal(sent);
            const applied = applyDelta(config(3, base), delta)!.workspaces;
            expect(sorted(applied)).to.deep.equal(sorted(next));
        });
    }

    // Guards against a state host of an earlier version whose messages would let everybody in.
    it("of an earlier version, which has none, leave the keys as they are", () => {
        const { number, baseNumber, changedRoutes, removedRoutes } = diffConfig(config(3), config(4));
        const applied = applyDelta(config(3, [one]), { number, baseNumber, changedRoutes, removedRoutes });
        expect(applied?.workspaces).to.deep.equal([one]);
    });
});
