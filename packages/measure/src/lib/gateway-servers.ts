/** Simulated backend servers with slots, a queue, and fault episodes in which a server fails most of its requests. */
import { AttemptOutcome, ServingState } from "@cassiapick/core";
import type { FleetServer, Random } from "@cassiapick/core";
import type { Timeline } from "@cassiapick/proofs";
import type { RequestClass, SimulatedSite } from "./gateway-sites.js";

const slotsPerServer = 3;
const maxQueueLength = 12;

/** One simulated backend server. */
export interface SimulatedServer {
    /** The server as the fleet's directory lists it. */
    record: FleetServer;
    isFailing: boolean;
    running: number;
    queue: (() => void)[];
}

/** Draws a log-normal service time; `variation` is its standard deviation divided by the mean. */
const drawServiceTimeMs = (random: Random, meanMs: number, variation: number): number => {
    const variance = Math.log(1 + variation * variation);
    const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
    return meanMs * Math.exp(Math.sqrt(variance) * normal - variance / 2);
};

/** Draws an exponentially distributed interval between random events. */
export const drawIntervalMs = (random: Random, meanMs: number): number => -meanMs * Math.log(1 - random.next());

/** Creates the servers of a site. */
export const createServers = (site: SimulatedSite): SimulatedServer[] => {
    const servers: SimulatedServer[] = [];
    for (const [service, count] of Object.entries(site.serversPerZone)) {
        for (const availabilityZone of Object.keys(site.regions)) {
            for (let index = 0; index < count; index += 1) {
                const number = servers.length + 1;
                const record: FleetServer = {
                    number,
                    serverId: `s${number}`,
                    service,
                    address: "",
                    availabilityZone,
                    slots: slotsPerServer,
                    state: ServingState.Ready,
                    bornAt: 0,
                    warmAt: 0,
                    silent: false,
                    keeper: "",
                    revision: 1,
                };
                servers.push({ record, isFailing: false, running: 0, queue: [] });
            }
        }
    }
    return servers;
};

/** Switches a server between faulty and healthy at random for as long as the timeline runs. */
export const scheduleFaultEpisodes = (server: SimulatedServer, site: SimulatedSite, timeline: Timeline, random: Random): void => {
    const { timeFraction, meanDurationMs } = site.faultEpisodes;
    const healthyMeanMs = meanDurationMs * (1 - timeFraction) / timeFraction;
    const toggleFault = (): void => {
        server.isFailing = !server.isFailing;
        timeline.after(drawIntervalMs(random, server.isFailing ? meanDurationMs : healthyMeanMs), toggleFault);
    };
    server.isFailing = random.next() >= timeFraction;
    toggleFault();
};

/** Runs one request on a server; `onOutcome` receives the outcome. */
export const serveRequest = (
    server: SimulatedServer,
    requestClass: RequestClass,
    site: SimulatedSite,
    timeline: Timeline,
    random: Random,
    onOutcome: (outcome: AttemptOutcome) => void,
): void => {
    if (server.isFailing && random.next() < site.faultEpisodes.failureRate) {
        onOutcome(AttemptOutcome.Broken);
        return;
    }
    const runRequest = (): void => {
        server.running += 1;
        timeline.after(drawServiceTimeMs(random, requestClass.meanServiceMs, requestClass.serviceTimeVariation), () => {
            server.running -= 1;
            server.queue.shift()?.();
            onOutcome(random.next() < site.healthyErrorRate ? AttemptOutcome.ServerError : AttemptOutcome.Answered);
        });
    };
    if (server.running < slotsPerServer) {
        runRequest();
    }
    else if (server.queue.length < maxQueueLength) {
        server.queue.push(runRequest);
    }
    else {
        onOutcome(AttemptOutcome.Declined);
    }
};
