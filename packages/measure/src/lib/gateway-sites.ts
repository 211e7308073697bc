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

/** One simulated site. */
export interface SimulatedSite {
    /** Region of each availability zone. */
    regions: Record<string, string>;
    entryHostsPerZone: number;
    serversPerZone: Record<string, number>;
    classes: RequestClass[];
    /** Fraction of time in which a server is faulty, mean duration of such an episode, and fraction of requests that fail in it. */
    faultEpisodes: { timeFraction: number; meanDurationMs: number; failureRate: number; };
    /** Error rate of a healthy server. */
    healthyErrorRate: number;
    retryReserve: number;
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

/** Simulated sites by name. */
export const simulatedSites: Readonly<Record<string, SimulatedSite>> = {
    ticketing: {
        regions: ticketingRegions,
        entryHostsPerZone: 6,
        serversPerZone: { viewer: 2, refunds: 2, bookings: 2, programmes: 2 },
        classes: ticketing(1),
        faultEpisodes: { timeFraction: 0.15, meanDurationMs: 4500, failureRate: 0.85 },
        healthyErrorRate: 0.012,
        retryReserve: 58,
    },
    "ticketing-grown": {
        regions: ticketingRegions,
        entryHostsPerZone: 18,
        serversPerZone: { viewer: 10, refunds: 17, bookings: 4, programmes: 11 },
        classes: ticketing(8.8),
        faultEpisodes: { timeFraction: 0.15, meanDurationMs: 4500, failureRate: 0.85 },
        healthyErrorRate: 0.012,
        retryReserve: 188,
    },
};
