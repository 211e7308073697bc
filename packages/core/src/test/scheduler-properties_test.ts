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

/** Runs the commands and checks each promise after each step. */
const runCommands = (commands: readonly Command[]): void => {
    const scheduler = createScheduler({ region: "quebec", availabilityZone: "a", queueLimit });
    const waiting = new Map<string, number>();
    const held = new Map<string, string>();
    let members: SchedulerMember[] = [];
    let now = 0;

    const granted = (attemptId: string, serverId: string): void => {
        held.set(attemptId, serverId);
        const slots = members.find(member => member.serverId === serverId)?.slots ?? 0;
        const inFlight = [...held.values()].filter(holder => holder === serverId).length;
        expect(inFlight, `slots of ${serverId}`).to.be.at.most(slots);
    };

    const apply = (action: SchedulerAction): void => {
        expect(waiting.has(action.attemptId), `${action.attemptId} is answered once`).to.equal(true);
        expect(now, "nobody waits past half of the time").to.be.at.most(waiting.get(action.attemptId)!);
        waiting.delete(action.attemptId);
        if (action.kind === SchedulerActionKind.Grant) {
            granted(action.attemptId, action.serverId);
        }
        else {
            expect(action.retryAfterMs).to.be.within(1, 10_000);
        }
    };

    const step = (event: SchedulerEvent): void => {
        scheduler.step(event, now).forEach(apply);
        expect(scheduler.queued()).to.equal(waiting.size);
        expect(scheduler.queued()).to.be.at.most(queueLimit);
        for (const { serverId } of members) {
            expect(scheduler.inFlight(serverId)).to.equal([...held.values()].filter(holder => holder === serverId).length);
        }
    };

    const passTime = (ms: number): void => {
        const until = now + ms;
        for (let at = scheduler.nextTickAt(now); at !== undefined && at <= until; at = scheduler.nextTickAt(now)) {
            now = Math.max(now, at);
            step({ kind: SchedulerEventKind.Tick });
        }
        now = until;
    };

    const nthKey = (map: Map<string, unknown>, nth: number): string => [...map.keys()][nth % Math.max(1, map.size)] ?? "absent";

    const run = (command: Command, index: number): void => {
        switch (command.name) {
            case "submit":
                waiting.set(`${index}`, now + timeoutMs / 2);
                return step({
                    kind: SchedulerEventKind.Submit,
                    attemptId: `${index}`,
                    brand: `${command.brand}`,
                    deadlineAt: now + timeoutMs,
                    exclude: command.exclude,
                    allowExcluded: command.allowExcluded,
                });
            case "release": {
                const attemptId = nthKey(held, command.nth);
                held.delete(attemptId);
                return step({ kind: SchedulerEventKind.Release, attemptId });
            }
            case "cancel": {
                const attemptId = nthKey(waiting, command.nth);
                waiting.delete(attemptId);
                return step({ kind: SchedulerEventKind.Cancel, attemptId });
            }
            case "members":
                members = command.members;
                return step({ kind: SchedulerEventKind.Members, members });
            case "shed": {
                const attemptId = nthKey(held, command.nth);
                const serverId = held.get(attemptId) ?? "server-0";
                held.delete(attemptId);
                return step({ kind: SchedulerEventKind.Shed, serverId, attemptId, retryAfterMs: 5 });
            }
            case "share": {
                const share = command.standBy
                    ? { kind: SlotShareKind.StandBy as const }
                    : { kind: SlotShareKind.Owner as const, ownerIndex: 0, owners: 1 };
                return step({ kind: SchedulerEventKind.Share, share });
            }
            case "tick":
                return passTime(command.ms);
        }
    };

    commands.forEach(run);
    passTime(timeoutMs);
    expect(waiting.size, "everybody is answered").to.equal(0);
};

describe("scheduler properties", () => {
    it("never grants twice, keeps slots exact and answers everybody in time", () => {
        const commands = fc.array(commandArbitrary, { maxLength: 80 });
        fc.assert(fc.property(commands, runCommands), { seed, numRuns: 1500 });
    });
});
