/** A fleet in fake time whose entry hosts keep quotas together, with an observer that sees every request. */
import { createQuotaDivision, createQuotaKeeper, createQuotaStock, createRandom, quotaAmounts } from "../index.js";
import type { QuotaBound, QuotaDivision, QuotaKeeper, QuotaStock, Random, Workspace } from "../index.js";
import { createFakeTimeline } from "./fake-timeline.js";
import type { FakeTimeline } from "./fake-timeline.js";

export const testBound: QuotaBound = { windowMs: 5000, overage: 0.1, slack: 20 };

/** How a fleet decides which requests are within a quota. */
export interface QuotaScheme {
    /** Decides a request at an entry host, now or later. */
    request(host: number, workspace: string, decide: (isAdmitted: boolean) => void): void;
    setWorkspaces(workspaces: readonly Workspace[]): void;
    /** An entry host ends; it is back, with nothing, at the next request. */
    hostKilled(host: number): void;
}

export interface QuotaFleetOptions {
    timeline: FakeTimeline;
    random: Random;
    /** Availability zone of each entry host, from 0. */
    hostZones: readonly number[];
    zones: number;
}

/** What the state hosts and the links have to bear. */
export interface QuotaFleet extends QuotaScheme {
    /** A state host does nothing until `untilMs`. */
    freezeState(zone: number, untilMs: number): void;
    /** A state host ends; another life of it starts at `untilMs`. */
    killState(zone: number, untilMs: number): void;
    /** The state host of a zone and its entry hosts reach no others until `untilMs`. */
    cutZone(zone: number, untilMs: number): void;
    counts: { zoneBytes: number; zoneMessages: number; hostMessages: number; };
}

const nearDelayMs = 1;
const farDelayMs = 20;
const electionMs = 1200;
const lostLinkMs = 300;
const silentLinkMs = 1500;
const maxWaitMs = 2000;
const tickMs = 20;

/** The fleet with shares by availability zone and tokens on demand. */
export const createQuotaFleet = ({ timeline, random, hostZones, zones }: QuotaFleetOptions): QuotaFleet => {
    const counts = { zoneBytes: 0, zoneMessages: 0, hostMessages: 0 };
    let workspaces: readonly Workspace[] = [];
    let configNumber = 0;
    let term = 1;
    let leader = 0;
    const voters = Array.from({ length: zones }, (_, zone) => `s${zone}`);

    interface State {
        keeper: QuotaKeeper;
        division: QuotaDivision;
        life: number;
        downUntil: number;
        frozenUntil: number;
        cutUntil: number;
        confirmedAt: number;
    }
    const states: State[] = [];
    interface Entry {
        stock: QuotaStock;
        life: number;
        attached: number | undefined;
        movesAt: number;
    }
    const entries: Entry[] = [];

    const isUp = (zone: number): boolean =>
        timeline.now() >= states[zone]!.downUntil && timeline.now() >= states[zone]!.frozenUntil;
    const isCut = (zone: number): boolean => timeline.now() < states[zone]!.cutUntil;
    const reaches = (from: number, to: number): boolean => from === to || (!isCut(from) && !isCut(to));

    /** A link delivers in order. */
    const lastDeliveries = new Map<string, number>();

    /** Delivers a message between zones; a host that is frozen gets it when it wakes. */
    const deliver = (link: string, from: number, to: number, life: () => number, run: () => void): void => {
        const sentToLife = life();
        const attempt = (): void => {
            if (life() !== sentToLife || !reaches(from, to)) {
                return;
            }
            run();
        };
        const at = timeline.now() + Math.round((from === to ? nearDelayMs : farDelayMs) + random.next() * 2);
        const inOrderAt = Math.max(at, lastDeliveries.get(link) ?? 0);
        lastDeliveries.set(link, inOrderAt);
        timeline.after(inOrderAt - timeline.now(), attempt);
    };

    const whenAwake = (zone: number, run: () => void): void => {
        const { frozenUntil, life } = states[zone]!;
        if (timeline.now() >= frozenUntil) {
            run();
            return;
        }
        timeline.after(frozenUntil - timeline.now(), () => {
            if (states[zone]!.life === life) {
                run();
            }
        });
    };

    const send = (from: number, to: number, message: unknown, run: () => void): void => {
        if (from !== to) {
            counts.zoneBytes += JSON.stringify(message).length;
            counts.zoneMessages += 1;
        }
        deliver(`${from} ${to}`, from, to, () => states[to]!.life, () => {
            if (timeline.now() >= states[to]!.downUntil) {
                whenAwake(to, run);
            }
        });
    };

    const viewAge = (zone: number): number => timeline.now() - states[zone]!.confirmedAt;

    const sendDemand = (zone: number): void => {
        if (!isUp(zone)) {
            return;
        }
        const message = states[zone]!.keeper.demandDue(term, timeline.now());
        if (message !== undefined) {
            const to = leader;
            send(zone, to, message, () => states[to]!.division.demand(voters[zone]!, message, viewAge(to), timeline.now()));
        }
    };

    const flush = (host: number): void => {
        const entry = entries[host]!;
        const zone = entry.attached;
        if (zone === undefined) {
            return;
        }
        for (const row of entry.stock.drainAsks(timeline.now())) {
            counts.hostMessages += 2;
            const life = entry.life;
            deliver(`h${host} ${zone}`, hostZones[host]!, zone, () => states[zone]!.life, () => {
                if (timeline.now() >= states[zone]!.downUntil) {
                    whenAwake(zone, () => states[zone]!.keeper.ask(host * 1000 + life, row, timeline.now()));
                }
            });
        }
    };

    const startState = (zone: number, life: number): void => {
        const keeper = createQuotaKeeper({
            firstSequence: timeline.now() + 1,
            sendGrant: (hostKey, row) => {
                const host = Math.floor(hostKey / 1000);
                deliver(`${zone} h${host}`, zone, hostZones[host]!, () => entries[host]!.life, () => {
                    if (entries[host]!.life === hostKey % 1000 && entries[host]!.attached === zone) {
                        entries[host]!.stock.granted([row], timeline.now());
                        flush(host);
                    }
                });
            },
        });
        const division = createQuotaDivision({
            hostId: voters[zone]!,
            lend: (name, count, now) => keeper.lend(name, count, now),
            send: (hostId, message) => {
                const to = voters.indexOf(hostId);
                send(zone, to, message, () => {
                    if (states[to]!.keeper.setShares(message, timeline.now())) {
                        sendDemand(to);
                    }
                });
            },
        });
        const amounts = quotaAmounts(workspaces, testBound);
        keeper.setQuotas(configNumber, amounts, timeline.now());
        division.setQuotas(configNumber, amounts);
        division.setVoters(voters, timeline.now());
        states[zone] = { keeper, division, life, downUntil: 0, frozenUntil: 0, cutUntil: 0, confirmedAt: 0 };
    };
    for (let zone = 0; zone < zones; zone += 1) {
        startState(zone, 0);
    }
    states[0]!.division.setTerm(1, 0);

    const startEntry = (host: number, life: number, attached: number | undefined): void => {
        const stock = createQuotaStock();
        stock.setWorkspaces(quotaAmounts(workspaces, testBound).keys(), timeline.now());
        entries[host] = { stock, life, attached, movesAt: timeline.now() + lostLinkMs };
    };
    hostZones.forEach((zone, host) => startEntry(host, 0, zone));

    const isMajorityReached = (zone: number): boolean =>
        isUp(zone) && voters.filter((_, other) => isUp(other) && reaches(zone, other)).length > zones / 2;

    let leaderLostAt: number | undefined;
    const elect = (): void => {
        if (isMajorityReached(leader)) {
            leaderLostAt = undefined;
            states[leader]!.confirmedAt = timeline.now() - farDelayMs;
            return;
        }
        leaderLostAt ??= timeline.now();
        if (timeline.now() - leaderLostAt > electionMs) {
            const next = voters.findIndex((_, zone) => zone !== leader && isMajorityReached(zone));
            if (next >= 0) {
                leader = next;
                term += 1;
                leaderLostAt = undefined;
                states[next]!.confirmedAt = timeline.now();
                states[next]!.division.setTerm(term, timeline.now());
            }
        }
    };

    const reattach = (host: number): void => {
        const entry = entries[host]!;
        const home = hostZones[host]!;
        const canUse = (zone: number): boolean => isUp(zone) && reaches(home, zone);
        if (entry.attached !== undefined && !canUse(entry.attached)) {
            const isSilent = timeline.now() >= states[entry.attached]!.downUntil;
            entry.movesAt = timeline.now() + (isSilent ? silentLinkMs : lostLinkMs) + random.next() * 100;
            entry.attached = undefined;
        }
        if (timeline.now() < entry.movesAt || entry.attached === home) {
            return;
        }
        const candidates = voters.map((_, zone) => zone).filter(canUse);
        const next = candidates.includes(home) ? home : candidates[(home + host) % Math.max(1, candidates.length)];
        if (next !== undefined && next !== entry.attached) {
            entry.attached = next;
            entry.movesAt = timeline.now() + 1000;
            entry.stock.linkChanged();
            flush(host);
        }
    };

    const tick = (): void => {
        const now = timeline.now();
        elect();
        states.forEach((state, zone) => {
            if (isUp(zone)) {
                state.keeper.tick(now);
                state.division.tick(viewAge(zone), now);
                sendDemand(zone);
            }
        });
        entries.forEach((entry, host) => {
            entry.stock.tick(now);
            reattach(host);
            flush(host);
        });
        timeline.after(tickMs, tick);
    };
    timeline.after(1, tick);

    return {
        counts,
        request: (host, workspace, decide) => {
            const now = timeline.now();
            entries[host]!.stock.request(workspace, now, now + maxWaitMs, ({ kind }) => decide(kind === "admitted"));
            flush(host);
        },
        setWorkspaces: next => {
            workspaces = next;
            configNumber += 1;
            const amounts = quotaAmounts(next, testBound);
            const number = configNumber;
            states.forEach((_state, zone) =>
                timeline.after(farDelayMs + 20 * zone, () => {
                    states[zone]!.keeper.setQuotas(number, amounts, timeline.now());
                    states[zone]!.division.setQuotas(number, amounts);
                })
            );
            entries.forEach((_, host) =>
                timeline.after(1 + random.below(200), () => entries[host]!.stock.setWorkspaces(amounts.keys(), timeline.now()))
            );
        },
        hostKilled: host => startEntry(host, entries[host]!.life + 1, undefined),
        freezeState: (zone, untilMs) => {
            states[zone]!.frozenUntil = untilMs;
        },
        killState: (zone, untilMs) => {
            const { life, cutUntil } = states[zone]!;
            startState(zone, life + 1);
            Object.assign(states[zone]!, { downUntil: untilMs, cutUntil });
        },
        cutZone: (zone, untilMs) => {
            states[zone]!.cutUntil = untilMs;
        },
    };
};

export const newTimeline = createFakeTimeline;
export const newRandom = createRandom;
