/** Loads and sizes of the users' sites for the model of a fleet. */
import { Repeatability } from "@cassiapick/core";

/** One kind of request, and the service that it goes to. */
export interface ModelClass {
    name: string;
    service: string;
    repeatability: Repeatability;
    /** Requests a second of all zones together. */
    perSecond: number;
    workMs: number;
    /** Standard deviation of the work over its mean. */
    spread: number;
    objectiveMs: number;
    timeoutMs: number;
    maxServers: number;
}

/** One site. */
export interface ModelSite {
    /** Regions by availability zone. */
    regions: Record<string, string>;
    entryHostsPerZone: number;
    serversPerZone: Record<string, number>;
    classes: ModelClass[];
    /** The share of time that a server fails by itself, the mean length of such a time, and the share that it fails then. */
    failing: { share: number; meanMs: number; fails: number; };
    /** Share of requests that a sound server fails. */
    errorShare: number;
    retryReserve: number;
}

const { AtMostOnce, Repeatable } = Repeatability;

const ticketingRegions = { "a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c" };

const ticketing = (scale: number): ModelClass[] => [
    {
        name: "seat-map",
        service: "viewer",
        repeatability: Repeatable,
        perSecond: 20.2 * scale,
        workMs: 300,
        spread: 0.3,
        objectiveMs: 1000,
        timeoutMs: 1500,
        maxServers: 2,
    },
    {
        name: "refund",
        service: "refunds",
        repeatability: AtMostOnce,
        perSecond: 47.2 * scale,
        workMs: 230,
        spread: 0.3,
        objectiveMs: 1000,
        timeoutMs: 2000,
        maxServers: 2,
    },
    {
        name: "reserve",
        service: "bookings",
        repeatability: AtMostOnce,
        perSecond: 14.3 * scale,
        workMs: 160,
        spread: 0.5,
        objectiveMs: 600,
        timeoutMs: 2500,
        maxServers: 2,
    },
    {
        name: "programme",
        service: "programmes",
        repeatability: Repeatable,
        perSecond: 7.25 * scale,
        workMs: 910,
        spread: 0.8,
        objectiveMs: 3000,
        timeoutMs: 6000,
        maxServers: 2,
    },
];

/** The sites by name. */
export const modelSites: Readonly<Record<string, ModelSite>> = {
    ticketing: {
        regions: ticketingRegions,
        entryHostsPerZone: 6,
        serversPerZone: { viewer: 2, refunds: 2, bookings: 2, programmes: 2 },
        classes: ticketing(1),
        failing: { share: 0.15, meanMs: 4500, fails: 0.85 },
        errorShare: 0.012,
        retryReserve: 58,
    },
    "ticketing-grown": {
        regions: ticketingRegions,
        entryHostsPerZone: 18,
        serversPerZone: { viewer: 10, refunds: 17, bookings: 4, programmes: 11 },
        classes: ticketing(8.8),
        failing: { share: 0.15, meanMs: 4500, fails: 0.85 },
        errorShare: 0.012,
        retryReserve: 188,
    },
};
