/** Simulated backend servers with slots, a queue, and fault episodes in which a server fails most of its requests. */
import { AttemptOutcome, ServingState } from "@cassiapick/core";
import type { FleetServer, Random } from "@cassiapick/core";
import type { Timeline } from "@cassiapick/proofs";
import { FaultKind } from "./gateway-sites.js";
import type { RequestClass, SimulatedSite } from "./gateway-sites.js";

/** Requests that a server queues, as a multiple of its slots. */
const queuedPerSlot = 4;
/** Time that a request takes on a slow server, as a multiple of the usual time. */
const slowFactor = 5;

/** One simulated backend server. */
export interface SimulatedServer {
    /** The server as the fleet's directory lists it. */
    record: FleetServer;
    isFailing: boolean;
    fault: FaultKind;
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
                    slots: site.slotsPerServer,
                    state: ServingState.Ready,
                    bornAt: 0,
                    warmAt: 0,
                    silent: false,
                    keeper: "",
                    revision: 1,
                };
                servers.push({ record, isFailing: false, fault: FaultKind.Reset, running: 0, queue: [] });
            }
        }
    }
    return servers;
};

/** Switches a server between faulty and healthy at random for as long as the timeline runs. */
export const scheduleFaultEpisodes = (server: SimulatedServer, site: SimulatedSite, timeline: Timeline, random: Random): void => {
    const { timeFraction, meanDurationMs, kinds } = site.faultEpisodes;
    const healthyMeanMs = meanDurationMs * (1 - timeFraction) / timeFraction;
    const toggleFault = (): void => {
        server.isFailing = !server.isFailing;
        server.fault = kinds[random.below(kinds.length)]!;
        timeline.after(drawIntervalMs(random, server.isFailing ? meanDurationMs : healthyMeanMs), toggleFault);
    };
    server.isFailing = random.next() >= timeFraction;
    toggleFault();
};

/** A request on a server. */
export interface ServerRun {
    /** Frees the request's slot; the outcome is not reported any more. */
    cancel(): void;
}

/** Runs one request on a server; `onOutcome` receives the outcome, unless the request hangs or is cancelled. */
export const serveRequest = (
    server: SimulatedServer,
    requestClass: RequestClass,
    site: SimulatedSite,
    timeline: Timeline,
    random: Random,
    onOutcome: (outcome: AttemptOutcome) => void,
): ServerRun => {
    const isFaulty = server.isFailing && random.next() < site.faultEpisodes.failureRate;
    const fault = isFaulty ? server.fault : undefined;
    let isEnded = false;
    let isRunning = false;
    const end = (outcome?: AttemptOutcome): void => {
        if (isEnded) {
            return;
        }
        isEnded = true;
        if (isRunning) {
            server.running -= 1;
            server.queue.shift()?.();
        }
        if (outcome !== undefined) {
            onOutcome(outcome);
        }
    };
    const run: ServerRun = { cancel: () => end() };
    if (fault === FaultKind.Reset) {
        end(AttemptOutcome.Broken);
        return run;
    }
    const runRequest = (): void => {
        if (isEnded) {
            server.queue.shift()?.();
            return;
        }
        isRunning = true;
        server.running += 1;
        if (fault === FaultKind.Hang) {
            return;
        }
        const usualMs = drawServiceTimeMs(random, requestClass.meanServiceMs, requestClass.serviceTimeVariation);
        const isError = fault === FaultKind.Error || random.next() < site.healthyErrorRate;
        timeline.after(
            fault === FaultKind.Slow ? slowFactor * usualMs : usualMs,
            () => end(isError ? AttemptOutcome.ServerError : AttemptOutcome.Answered),
        );
    };
    if (server.running < site.slotsPerServer) {
        runRequest();
    }
    else if (server.queue.length < queuedPerSlot * site.slotsPerServer) {
        server.queue.push(runRequest);
    }
    else {
        end(AttemptOutcome.Declined);
    }
    return run;
};
