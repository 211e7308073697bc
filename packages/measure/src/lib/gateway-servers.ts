/** Backend servers of the model: slots, a queue, and times in which a server fails most of its requests. */
import { AttemptOutcome, ServingState } from "@cassiapick/core";
import type { FleetServer, Random } from "@cassiapick/core";
import type { Timeline } from "@cassiapick/proofs";
import type { ModelClass, ModelSite } from "./gateway-sites.js";

const slots = 3;
const queueLength = 12;

/** One backend server. */
export interface ModelServer {
    record: FleetServer;
    isFailing: boolean;
    running: number;
    queue: (() => void)[];
}

/** A positive number with the given mean and deviation over it (log-normal). */
const drawWork = (random: Random, meanMs: number, spread: number): number => {
    const variance = Math.log(1 + spread * spread);
    const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
    return meanMs * Math.exp(Math.sqrt(variance) * normal - variance / 2);
};

/** A pause between events that come at random. */
export const drawPause = (random: Random, meanMs: number): number => -meanMs * Math.log(1 - random.next());

/** Creates the servers of a site. */
export const createServers = (site: ModelSite): ModelServer[] => {
    const servers: ModelServer[] = [];
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
                    slots,
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

/** Lets a server fail and recover for as long as the timeline runs. */
export const keepFailing = (server: ModelServer, site: ModelSite, timeline: Timeline, random: Random): void => {
    const { share, meanMs } = site.failing;
    const soundMeanMs = meanMs * (1 - share) / share;
    const turn = (): void => {
        server.isFailing = !server.isFailing;
        timeline.after(drawPause(random, server.isFailing ? meanMs : soundMeanMs), turn);
    };
    server.isFailing = random.next() >= share;
    turn();
};

/** Runs one request on a server; `done` gets the outcome. */
export const serve = (
    server: ModelServer,
    cls: ModelClass,
    site: ModelSite,
    timeline: Timeline,
    random: Random,
    done: (outcome: AttemptOutcome) => void,
): void => {
    if (server.isFailing && random.next() < site.failing.fails) {
        done(AttemptOutcome.Broken);
        return;
    }
    const run = (): void => {
        server.running += 1;
        timeline.after(drawWork(random, cls.workMs, cls.spread), () => {
            server.running -= 1;
            server.queue.shift()?.();
            done(random.next() < site.errorShare ? AttemptOutcome.ServerError : AttemptOutcome.Answered);
        });
    };
    if (server.running < slots) {
        run();
    }
    else if (server.queue.length < queueLength) {
        server.queue.push(run);
    }
    else {
        done(AttemptOutcome.Declined);
    }
};
