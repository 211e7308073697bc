/** Loads and sizes of the users' sites for the simulated fleet. */
import { Repeatability } from "@cassiapick/core";

/** One kind of request and the service that handles it. */
export interface RequestClass {
    name: string;
    service: string;
    repeatability: Repeatability;
    /** Requests per second, summed over all zones. */
    requestsPerSecond: number;
    meanServiceMs: number;
    /** Standard deviation of the service time divided by its mean. */
    serviceTimeVariation: number;
    objectiveMs: number;
    timeoutMs: number;
    maxServers: number;
}

/** How a request fails on a server in a fault episode. */
export enum FaultKind {
    /** The connection is reset at once. */
    Reset = "reset",
    /** No answer ever comes. */
    Hang = "hang",
    /** An answer with a server error comes after the usual time. */
    Error = "error",
    /** The answer comes, but takes several times as long. */
    Slow = "slow",
}

/** One simulated site. */
export interface SimulatedSite {
    /** Region of each availability zone. */
    regions: Record<string, string>;
    entryHostsPerZone: number;
    serversPerZone: Record<string, number>;
    classes: RequestClass[];
    slotsPerServer: number;
    /**
     * Fraction of time in which a server is faulty, mean duration of such an episode, fraction of requests that fail in it, and how;
     * of several ways, each episode has one.
     */
    faultEpisodes: { timeFraction: number; meanDurationMs: number; failureRate: number; kinds: readonly FaultKind[]; };
    /** Error rate of a healthy server. */
    healthyErrorRate: number;
    retryReserve: number;
    /** Time that a report waits for the processors of busy hosts on its way, besides the links; 0 by default. */
    reportHandlingMs?: number;
}

const { AtMostOnce, Repeatable } = Repeatability;

const ticketingRegions = { "a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c" };

const ticketing = (scale: number): RequestClass[] => [
    {
        name: "seat-map",
        service: "viewer",
        repeatability: Repeatable,
        requestsPerSecond: 20.2 * scale,
        meanServiceMs: 300,
        serviceTimeVariation: 0.3,
        objectiveMs: 1000,
        timeoutMs: 1500,
        maxServers: 2,
    },
    {
        name: "refund",
        service: "refunds",
        repeatability: AtMostOnce,
        requestsPerSecond: 47.2 * scale,
        meanServiceMs: 230,
        serviceTimeVariation: 0.3,
        objectiveMs: 1000,
        timeoutMs: 2000,
        maxServers: 2,
    },
    {
        name: "reserve",
        service: "bookings",
        repeatability: AtMostOnce,
        requestsPerSecond: 14.3 * scale,
        meanServiceMs: 160,
        serviceTimeVariation: 0.5,
        objectiveMs: 600,
        timeoutMs: 2500,
        maxServers: 2,
    },
    {
        name: "programme",
        service: "programmes",
        repeatability: Repeatable,
        requestsPerSecond: 7.25 * scale,
        meanServiceMs: 910,
        serviceTimeVariation: 0.8,
        objectiveMs: 3000,
        timeoutMs: 6000,
        maxServers: 2,
    },
];

const buylist = (scale: number): RequestClass[] => [
    {
        name: "price-lookup",
        service: "offers",
        repeatability: Repeatable,
        requestsPerSecond: 32.1 * scale,
        meanServiceMs: 600,
        serviceTimeVariation: 0.3,
        objectiveMs: 2500,
        timeoutMs: 5000,
        maxServers: 2,
    },
    {
        name: "credit-hold",
        service: "credit",
        repeatability: AtMostOnce,
        requestsPerSecond: 60.1 * scale,
        meanServiceMs: 460,
        serviceTimeVariation: 0.3,
        objectiveMs: 2500,
        timeoutMs: 6000,
        maxServers: 2,
    },
    {
        name: "cash-payout",
        service: "payouts",
        repeatability: AtMostOnce,
        requestsPerSecond: 20 * scale,
        meanServiceMs: 320,
        serviceTimeVariation: 0.8,
        objectiveMs: 1500,
        timeoutMs: 4000,
        maxServers: 2,
    },
    {
        name: "tradein-log",
        service: "trades",
        repeatability: AtMostOnce,
        requestsPerSecond: 9.08 * scale,
        meanServiceMs: 370,
        serviceTimeVariation: 0.5,
        objectiveMs: 1500,
        timeoutMs: 4000,
        maxServers: 2,
    },
];

/** The buylist site, whose servers fail in the given ways. */
const buylistWith = (...kinds: FaultKind[]): SimulatedSite => ({
    regions: ticketingRegions,
    entryHostsPerZone: 7,
    serversPerZone: { offers: 2, credit: 2, payouts: 2, trades: 2 },
    classes: buylist(1),
    slotsPerServer: 6,
    faultEpisodes: { timeFraction: 0.15, meanDurationMs: 4500, failureRate: 0.75, kinds },
    healthyErrorRate: 0.012,
    retryReserve: 60,
});

/** Till requests in six zones: one service per kind, two slots a server, and a request that runs once as the largest part. */
const tills: RequestClass[] = [
    {
        name: "price-lookup",
        service: "prices",
        repeatability: Repeatable,
        requestsPerSecond: 162,
        meanServiceMs: 180,
        serviceTimeVariation: 0.8,
        objectiveMs: 800,
        timeoutMs: 1500,
        maxServers: 2,
    },
    {
        name: "payment-record",
        service: "payments",
        repeatability: AtMostOnce,
        requestsPerSecond: 471,
        meanServiceMs: 140,
        serviceTimeVariation: 0.5,
        objectiveMs: 800,
        timeoutMs: 1200,
        maxServers: 2,
    },
    {
        name: "loyalty-balance",
        service: "points",
        repeatability: Repeatable,
        requestsPerSecond: 130,
        meanServiceMs: 340,
        serviceTimeVariation: 0.5,
        objectiveMs: 1200,
        timeoutMs: 2000,
        maxServers: 2,
    },
];

/** Simulated sites by name. */
export const simulatedSites: Readonly<Record<string, SimulatedSite>> = {
    ticketing: {
        regions: ticketingRegions,
        entryHostsPerZone: 6,
        serversPerZone: { viewer: 2, refunds: 2, bookings: 2, programmes: 2 },
        classes: ticketing(1),
        slotsPerServer: 3,
        faultEpisodes: { timeFraction: 0.15, meanDurationMs: 4500, failureRate: 0.85, kinds: [FaultKind.Reset] },
        healthyErrorRate: 0.012,
        retryReserve: 58,
    },
    "ticketing-grown": {
        regions: ticketingRegions,
        entryHostsPerZone: 18,
        serversPerZone: { viewer: 10, refunds: 17, bookings: 4, programmes: 11 },
        classes: ticketing(8.8),
        slotsPerServer: 3,
        faultEpisodes: { timeFraction: 0.15, meanDurationMs: 4500, failureRate: 0.85, kinds: [FaultKind.Reset] },
        healthyErrorRate: 0.012,
        retryReserve: 188,
    },
    tills: {
        regions: ticketingRegions,
        entryHostsPerZone: 15,
        serversPerZone: { prices: 7, payments: 16, points: 11 },
        classes: tills,
        slotsPerServer: 2,
        faultEpisodes: { timeFraction: 0.3, meanDurationMs: 13_000, failureRate: 0.85, kinds: [FaultKind.Reset] },
        healthyErrorRate: 0.012,
        retryReserve: 160,
        reportHandlingMs: 40,
    },
    buylist: buylistWith(FaultKind.Hang),
    "buylist-reset": buylistWith(FaultKind.Reset),
    "buylist-error": buylistWith(FaultKind.Error),
    "buylist-slow": buylistWith(FaultKind.Slow),
    "buylist-mixed": buylistWith(FaultKind.Hang, FaultKind.Reset, FaultKind.Error, FaultKind.Slow),
    "buylist-grown": {
        regions: ticketingRegions,
        entryHostsPerZone: 15,
        serversPerZone: { offers: 11, credit: 16, payouts: 4, trades: 2 },
        classes: buylist(6.5),
        slotsPerServer: 6,
        faultEpisodes: { timeFraction: 0.15, meanDurationMs: 4500, failureRate: 0.75, kinds: [FaultKind.Hang] },
        healthyErrorRate: 0.012,
        retryReserve: 156,
    },
};
