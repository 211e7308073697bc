import { expect } from "chai";
import fc from "fast-check";
import { createScheduler, SchedulerActionKind, SchedulerEventKind, SlotShareKind } from "../index.js";
import type { SchedulerAction, SchedulerEvent, SchedulerMember } from "../index.js";

const seed = 7;
const queueLimit = 6;
const timeoutMs = 300;

const memberOf = (index: number): fc.Arbitrary<SchedulerMember> =>
    fc.record({
        serverId: fc.constant(`server-${index}`),
        // The scheduler's own region is listed twice, so that two thirds of the members are local on average.
        region: fc.constantFrom("quebec", "quebec", "montreal"),
        availabilityZone: fc.constantFrom("a", "b"),
        slots: fc.integer({ min: 0, max: 3 }),
        cold: fc.boolean(),
        keptByFloor: fc.boolean(),
    });

const membersArbitrary = fc.tuple(...[0, 1, 2, 3].map(memberOf)).chain(all => fc.subarray(all));

const commandArbitrary = fc.oneof(
    {
        weight: 6,
        arbitrary: fc.record({
            name: fc.constant("submit" as const),
            brand: fc.integer({ max: 2, min: 0 }),
            exclude: fc.subarray(["server-0", "server-1"]),
            allowExcluded: fc.boolean(),
        }),
    },
    { weight: 4, arbitrary: fc.record({ name: fc.constant("release" as const), nth: fc.nat(20) }) },
    { weight: 1, arbitrary: fc.record({ name: fc.constant("cancel" as const), nth: fc.nat(20) }) },
    { weight: 1, arbitrary: fc.record({ name: fc.constant("members" as const), members: membersArbitrary }) },
    { weight: 1, arbitrary: fc.record({ name: fc.constant("shed" as const), nth: fc.nat(20) }) },
    { weight: 1, arbitrary: fc.record({ name: fc.constant("share" as const), standBy: fc.boolean() }) },
    { weight: 2, arbitrary: fc.record({ name: fc.constant("tick" as const), ms: fc.nat(200) }) },
);
type Command = typeof commandArbitrary extends fc.Arbitrary<infer C> ? C : never;

/** Runs the commands and checks the scheduler's invariants after each step. */
const runCommands = (commands: readonly Command[]): void => {
    const scheduler = createScheduler({ region: "quebec", availabilityZone: "a", queueLimit });
    /** The queued attempts, by ID, with the time by which each must be granted or refused. */
    const answerDueAt = new Map<string, number>();
    /** The backend server whose slot each granted attempt holds. */
    const heldSlots = new Map<string, string>();
    let members: SchedulerMember[] = [];
    let now = 0;

    const checkGrant = (attemptId: string, serverId: string): void => {
        heldSlots.set(attemptId, serverId);
        const slots = members.find(member => member.serverId === serverId)?.slots ?? 0;
        const inFlight = [...heldSlots.values()].filter(heldServerId => heldServerId === serverId).length;
        expect(inFlight, `slots of ${serverId}`).to.be.at.most(slots);
    };

    const apply = (action: SchedulerAction): void => {
        expect(answerDueAt.has(action.attemptId), `${action.attemptId} was still waiting`).to.equal(true);
        expect(now, "no attempt waits longer than half of its timeout").to.be.at.most(answerDueAt.get(action.attemptId)!);
        answerDueAt.delete(action.attemptId);
        if (action.kind === SchedulerActionKind.Grant) {
            checkGrant(action.attemptId, action.serverId);
        }
        else {
            expect(action.retryAfterMs).to.be.within(1, 10_000);
        }
    };

    const step = (event: SchedulerEvent): void => {
        scheduler.step(event, now).forEach(apply);
        expect(scheduler.queued()).to.equal(answerDueAt.size);
        expect(scheduler.queued()).to.be.at.most(queueLimit);
        for (const { serverId } of members) {
            expect(scheduler.inFlight(serverId)).to.equal(
                [...heldSlots.values()].filter(heldServerId => heldServerId === serverId).length,
            );
        }
    };

    const advanceTime = (ms: number): void => {
        const until = now + ms;
        for (let at = scheduler.nextTickAt(now); at !== undefined && at <= until; at = scheduler.nextTickAt(now)) {
            now = Math.max(now, at);
            step({ kind: SchedulerEventKind.Tick });
        }
        now = until;
    };

    const keyAt = (map: Map<string, unknown>, nth: number): string => [...map.keys()][nth % Math.max(1, map.size)] ?? "absent";

    const run = (command: Command, index: number): void => {
        switch (command.name) {
            case "submit":
                answerDueAt.set(`${index}`, now + timeoutMs / 2);
                return step({
                    kind: SchedulerEventKind.Submit,
                    attemptId: `${index}`,
                    brand: `${command.brand}`,
                    deadlineAt: now + timeoutMs,
                    exclude: command.exclude,
                    allowExcluded: command.allowExcluded,
                });
            case "release": {
                const attemptId = keyAt(heldSlots, command.nth);
                heldSlots.delete(attemptId);
                return step({ kind: SchedulerEventKind.Release, attemptId });
            }
            case "cancel": {
                const attemptId = keyAt(answerDueAt, command.nth);
                answerDueAt.delete(attemptId);
                return step({ kind: SchedulerEventKind.Cancel, attemptId });
            }
            case "members":
                members = command.members;
                return step({ kind: SchedulerEventKind.Members, members });
            case "shed": {
                const attemptId = keyAt(heldSlots, command.nth);
                const serverId = heldSlots.get(attemptId) ?? "server-0";
                heldSlots.delete(attemptId);
                return step({ kind: SchedulerEventKind.Shed, serverId, attemptId, retryAfterMs: 5 });
            }
            case "share": {
                const share = command.standBy
                    ? { kind: SlotShareKind.StandBy as const }
                    : { kind: SlotShareKind.Owner as const, ownerIndex: 0, owners: 1 };
                return step({ kind: SchedulerEventKind.Share, share });
            }
            case "tick":
                return advanceTime(command.ms);
        }
    };

    commands.forEach(run);
    advanceTime(timeoutMs);
    expect(answerDueAt.size, "every attempt is granted or refused").to.equal(0);
};

describe("scheduler properties", () => {
    it("never grants an attempt twice, counts slots exactly and answers every attempt in time", () => {
        const commands = fc.array(commandArbitrary, { maxLength: 80 });
        fc.assert(fc.property(commands, runCommands), { seed, numRuns: 1500 });
    });
});
