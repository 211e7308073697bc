import { expect } from "chai";
import { Repeatability, ServerObservation, ServingState } from "../index.js";
import type { FleetServer, ServerPool } from "../index.js";
import { choose, createPool, local, region, remote, server, service } from "./test-pool.js";

const { AtMostOnce, Repeatable } = Repeatability;

describe("server pool", () => {
    const cases: {
        name: string;
        servers?: FleetServer[];
        prepare?: (pool: ServerPool) => void;
        now?: number;
        expected: number | undefined;
    }[] = [
        { name: "prefers its own availability zone", expected: 1 },
        {
            name: "avoids a server after one failure",
            prepare: pool => pool.requestEnded(1, ServerObservation.Failure, 0),
            expected: 2,
        },
        {
            name: "avoids a server for which another host reports a failure",
            prepare: pool => pool.applyReport("h", { number: 1, successes: 0, failures: 1, inFlight: 0 }, 0),
            expected: 2,
        },
        {
            name: "uses a server again after successes",
            prepare: pool => {
                pool.requestEnded(1, ServerObservation.Failure, 0);
                pool.requestEnded(1, ServerObservation.Success, 10);
                pool.requestEnded(1, ServerObservation.Success, 20);
                pool.requestEnded(1, ServerObservation.Success, 30);
            },
            now: 40,
            expected: 1,
        },
        {
            name: "uses a failed server again after a while",
            prepare: pool => pool.requestEnded(1, ServerObservation.Failure, 0),
            now: 30_000,
            expected: 1,
        },
        {
            name: "counts the load that other hosts report",
            prepare: pool => {
                pool.applyReport("h1", { number: 1, successes: 0, failures: 0, inFlight: 4 }, 0);
                pool.applyReport("h2", { number: 1, successes: 0, failures: 0, inFlight: 1 }, 0);
            },
            expected: 2,
        },
        {
            name: "ignores the load of a departed host",
            prepare: pool => {
                pool.applyReport("h1", { number: 1, successes: 0, failures: 0, inFlight: 5 }, 0);
                pool.removeHostLoad("h1");
            },
            expected: 1,
        },
        {
            name: "does not use a draining server",
            servers: [server(1, "a1", { state: ServingState.Draining }), region],
            expected: 2,
        },
        {
            name: "does not use a server at whose address another one answered",
            prepare: pool => pool.markReplaced(1),
            expected: 2,
        },
        {
            name: "prefers a server in the same region to a silent one",
            servers: [server(1, "a1", { silent: true }), region],
            expected: 2,
        },
        { name: "uses a silent server when there is no other", servers: [server(1, "a1", { silent: true })], expected: 1 },
        { name: "avoids a server in its slow start", servers: [server(1, "a1", { warmAt: 12_000 }), region], expected: 2 },
        {
            name: "probes a server that has newly warmed up",
            servers: [server(1, "a1"), server(2, "a1", { warmAt: 9000 })],
            prepare: pool => pool.requestEnded(1, ServerObservation.Success, 0),
            expected: 2,
        },
        {
            name: "does not probe a newly warmed up server that another host has used",
            servers: [server(1, "a1"), server(2, "a1", { warmAt: 9000 })],
            prepare: pool => {
                pool.requestEnded(1, ServerObservation.Success, 0);
                pool.applyReport("h", { number: 2, successes: 0, failures: 0, inFlight: 1 }, 0);
            },
            expected: 1,
        },
        {
            name: "returns no server when all have left",
            servers: [server(1, "a1", { state: ServingState.Departed })],
            expected: undefined,
        },
    ];
    for (const { name, servers = [local, region, remote], prepare, now = 1, expected } of cases) {
        it(name, () => {
            const pool = createPool(servers);
            prepare?.(pool);
            expect(choose(pool, now)).to.equal(expected);
        });
    }

    it("uses another region when its own one fails", () => {
        const pool = createPool([local, region, remote]);
        pool.requestEnded(1, ServerObservation.Failure, 0);
        pool.requestEnded(2, ServerObservation.Failure, 0);
        expect(choose(pool, 1)).to.equal(3);
    });

    it("probes a failed server by repeatable requests before at-most-once requests use it", () => {
        const pool = createPool([local, remote]);
        pool.requestEnded(1, ServerObservation.Failure, 0);
        pool.requestEnded(3, ServerObservation.Success, 0);
        const firstUse = (repeatability: Repeatability): number => {
            for (let now = 0; now < 60_000; now += 100) {
                if (choose(pool, now, repeatability) === 1) {
                    return now;
                }
            }
            return Infinity;
        };
        expect(firstUse(Repeatable)).to.be.below(firstUse(AtMostOnce));
    });

    describe("while a service is not degraded", () => {
        /** Requests to each of eight servers of the own zone at 30 requests a second for 4 s, after half of the servers failed once. */
        const spread = (repeatability: Repeatability): number[] => {
            const pool = createPool(Array.from({ length: 8 }, (_, index) => server(index + 1, "a1")));
            for (let number = 5; number <= 8; number += 1) {
                pool.requestEnded(number, ServerObservation.Failure, 0);
            }
            const counts = Array<number>(8).fill(0);
            for (let now = 4000; now < 8000; now += 33) {
                const number = choose(pool, now, repeatability)!;
                counts[number - 1]! += 1;
                pool.requestStarted(number, now);
                pool.requestEnded(number, ServerObservation.Success, now);
            }
            return counts;
        };

        it("sends repeatable requests to every recovered server", () => {
            expect(Math.min(...spread(Repeatable))).to.be.above(0);
        });

        it("sends no at-most-once requests to servers without recent observations", () => {
            expect(spread(AtMostOnce).slice(4)).to.deep.equal([0, 0, 0, 0]);
        });
    });

    describe("while a service fails more than 10% of its requests", () => {
        const reportOutcomes = (pool: ServerPool, failureRate: number): void => {
            for (let count = 0; count < 40; count += 1) {
                pool.applyReport("h", {
                    number: 1,
                    successes: count % 10 >= failureRate * 10 ? 1 : 0,
                    failures: count % 10 < failureRate * 10 ? 1 : 0,
                    inFlight: 1,
                }, 5000);
            }
        };
        const probeCases: { name: string; failureRate: number; prepare?: (pool: ServerPool) => void; isProbed: boolean; }[] = [
            { name: "probes an idle server", failureRate: 0.2, isProbed: true },
            {
                name: "does not probe an idle server that failed recently",
                failureRate: 0.2,
                prepare: pool => pool.requestEnded(2, ServerObservation.Failure, 4000),
                isProbed: false,
            },
            {
                name: "probes an idle server that had time to recover",
                failureRate: 0.2,
                prepare: pool => pool.requestEnded(2, ServerObservation.Failure, 2000),
                isProbed: true,
            },
            {
                name: "does not probe a server that other hosts use",
                failureRate: 0.2,
                prepare: pool => pool.applyReport("h", { number: 2, successes: 0, failures: 1, inFlight: 1 }, 4500),
                isProbed: false,
            },
        ];
        for (const { name, failureRate, prepare, isProbed } of probeCases) {
            it(name, () => {
                const pool = createPool([local, server(2, "a1"), server(3, "a1"), remote]);
                pool.requestEnded(3, ServerObservation.Success, 4900);
                prepare?.(pool);
                reportOutcomes(pool, failureRate);
                const chosen = new Set(Array.from({ length: 20 }, () => choose(pool, 5001)));
                expect(chosen.has(2)).to.equal(isProbed);
            });
        }

        // With nine availability zones, a service may fail more than 10% of its requests in some zones and few in the others.
        const remoteCases: { name: string; failures: number; isProbed: boolean; }[] = [
            {
                name: "probes idle servers in a zone with few failures if all zones together fail 10%",
                failures: 20,
                isProbed: true,
            },
            { name: "relates failures in other zones to the load of all zones", failures: 5, isProbed: false },
        ];
        for (const { name, failures, isProbed } of remoteCases) {
            it(name, () => {
                const pool = createPool([local, server(2, "a1"), server(3, "a1"), remote]);
                pool.requestEnded(3, ServerObservation.Success, 4900);
                reportOutcomes(pool, 0);
                pool.applyRemoteFailures({ number: 3, successes: 0, failures, inFlight: 0 }, 5000);
                const chosen = new Set(Array.from({ length: 20 }, () => choose(pool, 5001)));
                expect(chosen.has(2)).to.equal(isProbed);
            });
        }

        it("does not probe idle servers while few requests fail", () => {
            const pool = createPool([local, server(2, "a1"), server(3, "a1"), remote]);
            pool.requestEnded(2, ServerObservation.Failure, 2000);
            reportOutcomes(pool, 0);
            expect(choose(pool, 5001)).not.to.equal(2);
        });
    });

    it("reports each change only once", () => {
        const pool = createPool([local]);
        pool.requestStarted(1, 0);
        expect(pool.drainReports(0)).to.deep.equal([{
            number: 1,
            successes: 0,
            failures: 0,
            inFlight: 1,
            waitLevel: 0,
            hangs: 0,
        }]);
        pool.requestEnded(1, ServerObservation.Failure, 5);
        expect(pool.drainReports(0)).to.deep.equal([{
            number: 1,
            successes: 0,
            failures: 1,
            inFlight: 0,
            waitLevel: 0,
            hangs: 0,
        }]);
        expect(pool.drainReports(0)).to.deep.equal([]);
    });

    it("discards the observations of an earlier process with the same id", () => {
        const pool = createPool([local, region]);
        pool.requestEnded(1, ServerObservation.Failure, 0);
        pool.update([server(7, "a1", { serverId: "s1" })]);
        expect(choose(pool, 1)).to.equal(7);
        expect(pool.size()).to.equal(2);
    });

    const failingServer = (pool: ServerPool): void => [1, 2, 3].forEach(() => pool.requestEnded(1, ServerObservation.Failure, 0));
    const limitCases: {
        name: string;
        limited: number[];
        within: number[];
        prepare?: (pool: ServerPool) => void;
        repeatability?: Repeatability;
        expected: number | undefined;
    }[] = [
        { name: "sends a limited server requests within the limit", limited: [1], within: [1], expected: 1 },
        { name: "sends what a limited server can't take to another one", limited: [1], within: [], expected: 2 },
        { name: "selects none when no server can take the request", limited: [1, 2, 3], within: [], expected: undefined },
        // A caller that is refused can return to a host with a share of a healthy server; a failed attempt may have run.
        {
            name: "refuses what must not be repeated rather than send it to a limited server that fails",
            limited: [1, 2, 3],
            within: [1],
            prepare: failingServer,
            expected: undefined,
        },
        {
            name: "sends what may be repeated to a limited server that fails, if there is no other",
            limited: [1, 2, 3],
            within: [1],
            prepare: failingServer,
            repeatability: Repeatable,
            expected: 1,
        },
    ];
    for (const { name, limited, within, prepare, repeatability, expected } of limitCases) {
        it(name, () => {
            const pool = createPool([local, region, remote], 1, {
                isLimited: number => limited.includes(number),
                maySend: number => !limited.includes(number) || within.includes(number),
                requestStarted: () => undefined,
            });
            prepare?.(pool);
            expect(choose(pool, 100, repeatability)).to.equal(expected);
            expect(pool.hasFreeSlots(service, 100)).to.equal(limited.length < 3 || within.length > 0);
        });
    }
});
