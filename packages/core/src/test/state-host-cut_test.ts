import { expect } from "chai";
import { createRandom, createStateHostSelector } from "../index.js";
import type { StateHostContact, StateHostSelector } from "../index.js";

/** Time within which a published change must be in force, in milliseconds. */
const applyWithinMs = 2500;
const checkIntervalMs = 100;
const stepMs = 10;
/** Interval at which a state host reports the age of its view, in milliseconds. */
const reportIntervalMs = 400;
/** The state hosts are cut off from 0 until this time, in milliseconds. */
const cutMs = 20_000;
/** A link on which nothing arrives is closed after this time, in milliseconds. */
const silenceMs = 1300;
/** A connection attempt, and a question for the view's age, fail after this time, in milliseconds. */
const connectTimeoutMs = 600;
/** Age of the view of a state host that a majority confirms, in milliseconds. */
const confirmedAgeMs = 150;
/** A leader that hears from no majority steps down after this time, in milliseconds; its followers then know no leader. */
const stepDownMs = 1600;
const seedCount = 50;

enum Fault {
    /** The state host reaches entry hosts, but no majority of the state hosts. */
    NoMajority = "without a majority",
    /** The state host can't be reached at all. */
    Unreachable = "unreachable",
}

const zones = ["a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"];
const contacts: StateHostContact[] = zones.map(zone => ({ address: zone, availabilityZone: zone, region: zone.slice(0, 1) }));

interface Connection {
    openedAt: number;
    lastReceivedAt: number;
}

/** Connections of an entry host in zone a1; the state hosts in `faulty` have the fault from 0 to `cutMs`. */
const createConnections = (selector: StateHostSelector, faulty: readonly string[], fault: Fault) => {
    const connections = new Map<string, Connection>();
    const roundTripMs = (address: string): number => address.startsWith("a") ? 6 : 90;

    const reportOf = (address: string, now: number): number | undefined => {
        if (now < 0 || !faulty.includes(address)) {
            return confirmedAgeMs;
        }
        if (fault === Fault.Unreachable) {
            return undefined;
        }
        return now < stepDownMs ? now + confirmedAgeMs : Infinity;
    };

    const advance = (address: string, connection: Connection, now: number): void => {
        const hasReported = connection.lastReceivedAt > connection.openedAt;
        const reportDueAt = hasReported
            ? connection.lastReceivedAt + reportIntervalMs
            : connection.openedAt + 2 * roundTripMs(address);
        const ageMs = reportOf(address, now);
        if (now >= reportDueAt && ageMs !== undefined) {
            connection.lastReceivedAt = now;
            selector.viewConfirmed(address, ageMs, now);
            return;
        }
        if (now - connection.lastReceivedAt >= (hasReported ? silenceMs : connectTimeoutMs)) {
            connections.delete(address);
            selector.connectionLost(address, now);
        }
    };

    return {
        open: (address: string, now: number): void => {
            connections.set(address, { openedAt: now, lastReceivedAt: now });
        },
        advanceAll: (now: number): void => {
            for (const [address, connection] of connections) {
                advance(address, connection, now);
            }
        },
    };
};

/** The oldest view of an entry host in zone a1 during the cut, in milliseconds. */
const oldestViewMs = (faulty: readonly string[], fault: Fault, seed: number): number => {
    const selector = createStateHostSelector({ availabilityZone: "a1", region: "a", seeds: ["a1"], random: createRandom(seed) });
    selector.setContacts(contacts);
    const connections = createConnections(selector, faulty, fault);
    let oldestMs = 0;
    for (let now = -5000; now < cutMs; now += stepMs) {
        if (now % checkIntervalMs === 0) {
            const address = selector.nextAddress(now);
            if (address !== undefined) {
                connections.open(address, now);
            }
        }
        connections.advanceAll(now);
        if (now >= 0) {
            oldestMs = Math.max(oldestMs, selector.viewAgeMs(now));
        }
    }
    return oldestMs;
};

describe("state host selector while state hosts are cut off", () => {
    const cases: [faulty: string[], fault: Fault][] = [
        [["a1"], Fault.NoMajority],
        [["a1", "a2"], Fault.NoMajority],
        [["a1", "a2", "a3"], Fault.NoMajority],
        [["a1", "a2", "a3", "b1"], Fault.NoMajority],
        [["a1", "b1", "b2", "c1"], Fault.NoMajority],
        [["a1"], Fault.Unreachable],
        [["a1", "a2", "a3"], Fault.Unreachable],
        [["a1", "a2", "a3", "b1"], Fault.Unreachable],
    ];
    for (const [faulty, fault] of cases) {
        // Guards against changes that come late because the nearest state hosts are tried one after the other.
        it(`keeps the view of an entry host recent while ${faulty.join(", ")} of nine are ${fault}`, () => {
            for (let seed = 1; seed <= seedCount; seed += 1) {
                expect(oldestViewMs(faulty, fault, seed), `seed ${seed}`).to.be.below(applyWithinMs);
            }
        });
    }
});
