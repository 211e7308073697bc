import { expect } from "chai";
import { createScheduler, RefusalKind, SchedulerActionKind, SchedulerEventKind, SlotShareKind } from "../index.js";
import type { Scheduler, SchedulerAction, SchedulerEvent, SchedulerMember } from "../index.js";

const cfg = { region: "quebec", availabilityZone: "quebec-a", queueLimit: 20 };
const distantDeadline = 1_000_000;

const member = (serverId: string, options: Partial<SchedulerMember> = {}): SchedulerMember => ({
    serverId,
    region: "quebec",
    availabilityZone: "quebec-a",
    slots: 3,
    cold: false,
    keptByFloor: false,
    ...options,
});

const createPool = (members: SchedulerMember[]): Scheduler => {
    const scheduler = createScheduler(cfg);
    scheduler.step({ kind: SchedulerEventKind.Members, members }, 0);
    return scheduler;
};

type Submit = Extract<SchedulerEvent, { kind: SchedulerEventKind.Submit; }>;

const submit = (attemptId: string, options: Partial<Submit> = {}): SchedulerEvent => ({
    kind: SchedulerEventKind.Submit,
    attemptId,
    brand: "parish",
    deadlineAt: distantDeadline,
    exclude: [],
    ...options,
});

const describeAction = (action: SchedulerAction): string =>
    action.kind === SchedulerActionKind.Grant ? action.serverId : action.reason;

const submitMany = (scheduler: Scheduler, count: number, options: Partial<Submit> = {}, now = 0): string[] =>
    Array.from(
        { length: count },
        (_, index) => scheduler.step(submit(`${options.brand ?? "parish"}-${now}-${index}`, options), now),
    )
        .flat()
        .map(describeAction);

const otherZoneMember = member("other-zone", { availabilityZone: "quebec-b" });
const remoteMember = member("remote", { region: "montreal", availabilityZone: "montreal-a" });

describe("scheduler picks", () => {
    const cases: { name: string; members: SchedulerMember[]; count: number; picked: string[]; }[] = [
        {
            name: "its own zone, then the region",
            members: [otherZoneMember, member("own", { slots: 1 })],
            count: 2,
            picked: ["own", "other-zone"],
        },
        { name: "the least loaded", members: [member("a"), member("b")], count: 4, picked: ["a", "b", "a", "b"] },
        {
            name: "no remote member while its region serves",
            members: [member("own", { slots: 1 }), remoteMember],
            count: 2,
            picked: ["own"],
        },
        { name: "remote members when its region has none", members: [remoteMember], count: 2, picked: ["remote", "remote"] },
        {
            name: "one kept by the floor last",
            members: [member("unhealthy", { keptByFloor: true }), otherZoneMember],
            count: 4,
            picked: ["other-zone", "other-zone", "other-zone", "unhealthy"],
        },
        { name: "one slot of a cold member", members: [member("cold", { cold: true })], count: 2, picked: ["cold"] },
        { name: "nobody without members", members: [], count: 1, picked: [RefusalKind.NoServers] },
    ];
    for (const { name, members, count, picked } of cases) {
        it(name, () => {
            expect(submitMany(createPool(members), count)).to.deep.equal(picked);
        });
    }

    it("grants a cold member one more slot with each slow-start step", () => {
        const scheduler = createPool([member("cold", { cold: true })]);
        submitMany(scheduler, 3, { deadlineAt: distantDeadline });
        expect(scheduler.inFlight("cold")).to.equal(1);
        submitMany(scheduler, 1, {}, 1000);
        expect(scheduler.inFlight("cold")).to.equal(2);
    });

    it("limits a stand-by to one slot of a member, raises the limit as attempts end and resets it after a shed", () => {
        const scheduler = createPool([member("a")]);
        scheduler.step({ kind: SchedulerEventKind.Share, share: { kind: SlotShareKind.StandBy } }, 0);
        expect(submitMany(scheduler, 3)).to.deep.equal(["a"]);
        scheduler.step({ kind: SchedulerEventKind.Release, attemptId: "parish-0-0" }, 10);
        expect(scheduler.inFlight("a")).to.equal(2);
        scheduler.step({ kind: SchedulerEventKind.Shed, serverId: "a", retryAfterMs: 0, attemptId: "parish-0-1" }, 20);
        scheduler.step({ kind: SchedulerEventKind.Release, attemptId: "parish-0-2" }, 20);
        expect(submitMany(scheduler, 3, {}, 50)).to.deep.equal(["a"]);
    });

    it("splits the slots exactly among several owners", () => {
        const members = ["a", "b", "c", "d"].map(serverId => member(serverId));
        const granted = [0, 1].map(ownerIndex => {
            const scheduler = createPool(members);
            scheduler.step({ kind: SchedulerEventKind.Share, share: { kind: SlotShareKind.Owner, ownerIndex, owners: 2 } }, 0);
            return submitMany(scheduler, 12).length;
        });
        expect(granted[0]! + granted[1]!).to.equal(12);
    });

    const excludes = [
        { allowExcluded: false, members: ["a"], picked: [RefusalKind.NoCapacity] },
        { allowExcluded: true, members: ["a"], picked: ["a"] },
        { allowExcluded: true, members: ["a", "b"], picked: ["b"] },
    ];
    for (const { allowExcluded, members, picked } of excludes) {
        it(`excludes "a" of ${members.join()} when falling back is ${allowExcluded ? "" : "not "}allowed`, () => {
            const scheduler = createPool(members.map(serverId => member(serverId)));
            expect(submitMany(scheduler, 1, { exclude: ["a"], allowExcluded })).to.deep.equal(picked);
        });
    }
});

describe("scheduler queues", () => {
    it("takes turns between brands", () => {
        const scheduler = createPool([member("a", { slots: 1 })]);
        submitMany(scheduler, 6, { brand: "heavy" });
        submitMany(scheduler, 2, { brand: "light" });
        const order: string[] = [];
        let holder = "heavy-0-0";
        for (let turn = 0; turn < 5; turn += 1) {
            const actions = scheduler.step({ kind: SchedulerEventKind.Release, attemptId: holder }, 1);
            holder = actions[0]!.attemptId;
            order.push(holder);
        }
        expect(order).to.deep.equal(["heavy-0-1", "light-0-0", "heavy-0-2", "light-0-1", "heavy-0-3"]);
    });

    it("leaves queue places for a brand with few requests when another brand fills the queue", () => {
        const scheduler = createPool([member("a")]);
        const heavyResults = submitMany(scheduler, 60, { brand: "heavy" });
        expect(heavyResults).to.include(RefusalKind.NoCapacity);
        expect(submitMany(scheduler, 1, { brand: "light" })).to.deep.equal([]);
    });

    it("refuses an attempt at once that cannot be served in time", () => {
        const scheduler = createPool([member("a", { slots: 1 })]);
        submitMany(scheduler, 1);
        // One slot, held for an estimated 50 ms, is not released within half of 40 ms.
        expect(submitMany(scheduler, 1, { brand: "late", deadlineAt: 40 })).to.deep.equal([RefusalKind.NoCapacity]);
        expect(submitMany(scheduler, 1, { brand: "past", deadlineAt: 0 })).to.deep.equal([RefusalKind.DeadlinePassed]);
    });

    it("refuses a waiting attempt when half of its time has passed", () => {
        const scheduler = createPool([member("a", { slots: 1 })]);
        submitMany(scheduler, 1);
        submitMany(scheduler, 1, { brand: "waiting", deadlineAt: 400 });
        expect(scheduler.nextTickAt(0)).to.equal(200);
        expect(scheduler.step({ kind: SchedulerEventKind.Tick }, 199)).to.deep.equal([]);
        expect(scheduler.step({ kind: SchedulerEventKind.Tick }, 200).map(describeAction)).to.deep.equal([
            RefusalKind.NoCapacity,
        ]);
    });

    it("counts the waits of all attempts of a request together", () => {
        const scheduler = createPool([member("a", { slots: 1 })]);
        submitMany(scheduler, 1);
        const furtherAttempt = { brand: "again", arrivedAt: 0, deadlineAt: 1000 };
        expect(submitMany(scheduler, 1, furtherAttempt, 501)).to.deep.equal([RefusalKind.NoCapacity]);
        scheduler.step({ kind: SchedulerEventKind.Release, attemptId: "parish-0-0" }, 502);
        expect(submitMany(scheduler, 1, furtherAttempt, 503)).to.deep.equal(["a"]);
    });

    it("refuses the waiting attempts at once when the last member is removed", () => {
        const scheduler = createPool([member("a", { slots: 1 })]);
        submitMany(scheduler, 2);
        const actions = scheduler.step({ kind: SchedulerEventKind.Members, members: [] }, 1);
        expect(actions.map(describeAction)).to.deep.equal([RefusalKind.NoServers]);
    });
});

describe("scheduler backoff after a shed", () => {
    const shed = (scheduler: Scheduler, attemptId: string, now: number): void => {
        scheduler.step({ kind: SchedulerEventKind.Shed, serverId: "a", retryAfterMs: 0, attemptId }, now);
    };

    it("doubles its delay with each shed", () => {
        const scheduler = createPool([member("a", { slots: 1 })]);
        const delays: number[] = [];
        let now = 0;
        for (let round = 0; round < 4; round += 1) {
            scheduler.step(submit(`round-${round}`), now);
            shed(scheduler, `round-${round}`, now);
            scheduler.step(submit(`next-${round}`), now);
            const endAt = scheduler.nextTickAt(now)!;
            delays.push(endAt - now);
            scheduler.step({ kind: SchedulerEventKind.Cancel, attemptId: `next-${round}` }, now);
            now = endAt;
        }
        expect(delays).to.deep.equal([20, 40, 80, 160]);
    });

    it("still grants as many slots as the member did not shed", () => {
        const scheduler = createPool([member("a")]);
        submitMany(scheduler, 3);
        shed(scheduler, "parish-0-2", 1);
        expect(scheduler.inFlight("a")).to.equal(2);
        scheduler.step({ kind: SchedulerEventKind.Release, attemptId: "parish-0-0" }, 2);
        expect(submitMany(scheduler, 2, { brand: "next" }, 2)).to.deep.equal(["a"]);
    });
});
