import { expect } from "chai";
import { createRandom } from "../index.js";
import { playFleet } from "./admission-fleet.js";
import type { FleetPlay } from "./admission-fleet.js";
import { drawCallers, resultOf } from "./admission-load.js";
import type { Caller, ClassResult, LoadPattern } from "./admission-load.js";
import { playOracle } from "./admission-oracle.js";
import { ordinaryPatterns, patterns } from "./admission-patterns.js";

const seed = 38;

interface Plays {
    fleet: FleetPlay;
    naive: FleetPlay;
    oracle: Caller[];
}

const allOf = (callers: readonly Caller[]): ClassResult => resultOf(callers, () => true);

const classesOf = ({ classes }: LoadPattern, callers: readonly Caller[]): ClassResult[] =>
    classes.map(requestClass => resultOf(callers, caller => caller.requestClass === requestClass));

/** The share of the credit of a class that its callers got. */
const creditShare = ({ worth, callers }: ClassResult, fullWorth: number): number => worth / (callers * fullWorth);

/** Bounds that the users' letter and the issue on admission state. */
const checks: {
    name: string;
    check: (pattern: LoadPattern, plays: Plays) => void;
    isFor?: (pattern: LoadPattern) => boolean;
}[] = [
    {
        name: "serves 0.99 of the urgent, 0.95 within their objective",
        isFor: ({ classes }) => classes.length > 1,
        check: (pattern, { fleet }) => {
            const [urgent] = classesOf(pattern, fleet.callers);
            expect(urgent!.served / urgent!.callers).to.be.at.least(0.99);
            expect(urgent!.inObjective / urgent!.callers).to.be.at.least(0.95);
        },
    },
    {
        name: "serves the less urgent 0.9 of what is left",
        check: (pattern, { fleet, oracle }) => {
            const served = classesOf(pattern, fleet.callers).at(-1)!.served;
            expect(served / classesOf(pattern, oracle).at(-1)!.served).to.be.at.least(0.9);
        },
    },
    {
        name: "needs at most 2 sends by caller",
        check: (pattern, { fleet }) =>
            classesOf(pattern, fleet.callers).forEach(({ sendsPerCaller }) => expect(sendsPerCaller).to.be.at.most(2)),
    },
    {
        name: "uses 0.95 of the room",
        isFor: ({ name }) => !name.startsWith("a crowd"),
        check: (_, { fleet }) => expect(fleet.roomUsed).to.be.at.least(0.95),
    },
    {
        name: "reaches 0.9 of the worth of an oracle",
        check: (_, { fleet, oracle }) => expect(allOf(fleet.callers).worth / allOf(oracle).worth).to.be.at.least(0.9),
    },
    {
        name: "is worth more to callers than first come first served",
        check: (_, { fleet, naive }) => expect(allOf(fleet.callers).worth).to.be.at.least(allOf(naive.callers).worth),
    },
    {
        name: "serves the urgent no less than the less urgent",
        isFor: ({ classes }) => classes.length > 1,
        check: (pattern, { fleet }) => {
            const [urgent, lessUrgent] = classesOf(pattern, fleet.callers);
            expect(lessUrgent!.served / lessUrgent!.callers - urgent!.served / urgent!.callers).to.be.at.most(0.05);
            const [urgentClass, lessUrgentClass] = pattern.classes;
            expect(creditShare(lessUrgent!, lessUrgentClass!.worth) - creditShare(urgent!, urgentClass!.worth)).to.be.at.most(
                0.15,
            );
        },
    },
    {
        name: "serves no workspace less than a quarter as often as all",
        check: (_, { fleet: { callers } }) => {
            const { served, callers: count } = allOf(callers);
            for (const workspace of new Set(callers.map(caller => caller.workspace))) {
                const own = resultOf(callers, caller => caller.workspace === workspace);
                expect(own.served / own.callers).to.be.at.least(served / count / 4);
            }
        },
    },
    {
        name: "refuses truthfully, and holds nothing while a server is known to have a free slot",
        check: (_, { fleet }) => expect([fleet.untrueRefusals, fleet.needless]).to.deep.equal([0, 0]),
    },
];

// Guards against a shortage of room that the urgent, or callers who wait as they are told, pay for.
describe(`admission of a fleet, seed ${seed}`, () => {
    for (const pattern of patterns) {
        describe(pattern.name, () => {
            let plays: Plays;
            before(() => {
                plays = {
                    fleet: playFleet(pattern, seed, true),
                    naive: playFleet(pattern, seed, false),
                    oracle: playOracle(drawCallers(pattern, createRandom(seed)), pattern),
                };
            });
            for (const { name, check } of checks.filter(({ isFor }) => isFor?.(pattern) ?? true)) {
                it(name, () => check(pattern, plays));
            }
        });
    }

    for (const pattern of ordinaryPatterns) {
        it(`sends every request at once at ${pattern.name}, as without admission`, () => {
            const fleet = playFleet(pattern, seed, true);
            expect(fleet.waited).to.equal(0);
            expect(fleet.callers).to.deep.equal(playFleet(pattern, seed, false).callers);
        });
    }
});
