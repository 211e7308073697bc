import { FactKind, PeerMessageKind, StateReplyKind, StateRequestKind } from "@cassiapick/core";
import type { Fact, PeerMessage, ServingState } from "@cassiapick/core";
import { encodeFrame } from "@cassiapick/wire";
import { expect } from "chai";
import { createDriverFleet, until } from "./driver-fleet.js";
import type { DriverFleet, DriverFleetOptions } from "./driver-fleet.js";

type FaultOptions = Omit<DriverFleetOptions, "seed">;

const seed = 66;
const hostIds = ["a", "b", "c"];

/** A request whose outcome is unknown is sent again, as by an operator. */
const maxTries = 5;

/** Throws on values that no frame can hold. */
const encode = (message: PeerMessage): PeerMessage => {
    encodeFrame(message);
    return structuredClone(message);
};

/** A fact that no frame can hold, as if a decoder had let a value of another type pass. */
const unencodableFact: Fact = {
    kind: FactKind.Server,
    server: {
        serverId: "i-1",
        service: "s1",
        address: "127.0.0.1:4001",
        availabilityZone: "z1",
        slots: 1,
        state: Object as unknown as ServingState.Ready,
        bornAt: Number.MIN_SAFE_INTEGER,
        warmupLeftMs: 0,
    },
    keeper: "a",
    at: 1,
};

// Guards against state hosts that handle no event any more, and say nothing of it, after one step of theirs has thrown.
describe("state hosts one step of which throws", function () {
    this.timeout(20_000);
    let isFaulty = false;
    let lines: string[] = [];

    const failOnce = (): void => {
        if (isFaulty) {
            isFaulty = false;
            throw new Error("the step failed");
        }
    };

    const publishAgain = async (fleet: DriverFleet, hostId: string, number: number): Promise<StateReplyKind> => {
        let outcome = StateReplyKind.Unavailable;
        for (let tries = 0; tries < maxTries && outcome === StateReplyKind.Unavailable; tries += 1) {
            outcome = await fleet.publish(hostId, number);
        }
        return outcome;
    };

    const expectService = async (options: FaultOptions, disturb: (fleet: DriverFleet) => Promise<void>): Promise<void> => {
        isFaulty = false;
        lines = [];
        const fleet = createDriverFleet({ ...options, seed, write: line => lines.push(line) });
        try {
            for (const hostId of hostIds) {
                await fleet.start(hostId, hostIds);
            }
            await until(() => fleet.votersOfLeader().length === hostIds.length);
            expect(await fleet.publish("a", 1)).to.equal(StateReplyKind.Recorded);
            await disturb(fleet);
            const isHealthy = (): boolean => [...fleet.drivers.values()].every(driver => driver.isStorageHealthy());
            await until(() => isHealthy() && fleet.votersOfLeader().length === hostIds.length);
            for (const [index, hostId] of hostIds.entries()) {
                expect(await publishAgain(fleet, hostId, 2 + index), hostId).to.equal(StateReplyKind.Recorded);
                const reply = await fleet.drivers.get(hostId)!.handleRequest({ kind: StateRequestKind.ReadPublished });
                expect(reply.kind, hostId).to.equal(StateReplyKind.Published);
            }
            expect(lines.filter(line => /internalFault|storageFailed/u.test(line))).to.not.deep.equal([]);
        }
        finally {
            await fleet.stop();
        }
    };

    const copyUnless = (isAffected: (message: PeerMessage) => boolean) => (message: PeerMessage): PeerMessage => {
        if (isAffected(message)) {
            failOnce();
        }
        return structuredClone(message);
    };

    const steps: [name: string, options: FaultOptions][] = [
        ["sending any message", { transfer: copyUnless(() => true) }],
        ["sending entries or a heartbeat", { transfer: copyUnless(({ kind }) => kind === PeerMessageKind.Append) }],
        ["the callback after a step", { onStepped: failOnce }],
    ];
    for (const [name, options] of steps) {
        it(`take changes and answer reads after ${name}`, () =>
            expectService(options, async () => {
                isFaulty = true;
                await until(() => !isFaulty);
            }));
    }

    for (const isLeader of [false, true]) {
        it(`take changes and answer reads after a fact that can't be encoded, at ${isLeader ? "the leader" : "a follower"}`, () =>
            expectService({ transfer: encode }, async fleet => {
                const target = hostIds.find(hostId => (hostId === fleet.leaderId()) === isLeader)!;
                const reply = await fleet.drivers.get(target)!.handleRequest({
                    kind: StateRequestKind.Facts,
                    facts: [unencodableFact],
                });
                expect(reply.kind).to.equal(StateReplyKind.Unavailable);
            }));
    }
});
