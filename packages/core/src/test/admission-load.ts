/** Patterns of load that find too little room, and what their callers get. */
import type { Random, Repeatability } from "../index.js";

/** Requests of one priority. Times are in milliseconds. */
export interface RequestClass {
    name: string;
    priority: number;
    /** Fraction of the requests. */
    share: number;
    objectiveMs: number;
    deadlineMs: number;
    workMs: number;
    /** What an answer within the objective and a later one are worth to the caller. */
    worth: number;
    lateWorth: number;
    repeatability: Repeatability;
}

/** A load pattern. Times are in milliseconds. */
export interface LoadPattern {
    name: string;
    classes: RequestClass[];
    /** Arrivals as a multiple of the room. */
    phases: { untilMs: number; ratio: number; }[];
    /** Fraction of the callers of the least urgent class that repeat at once, whatever a refusal says. */
    repeatingShare?: number;
    /** Fraction of the requests that come from the first of eight workspaces; otherwise all send as much. */
    hotWorkspaceShare?: number;
    server?: (index: number, now: number) => Partial<ServerState>;
}

/** What a server does at a time. */
export interface ServerState {
    /** Multiplied by the work of a request. */
    slowness: number;
    declinesAll: boolean;
    /** Probability that it breaks the connection of a request that it starts. */
    resetProbability: number;
}

export interface Caller {
    key: string;
    requestClass: RequestClass;
    workspace: string;
    firstAt: number;
    deadlineAt: number;
    workMs: number;
    repeats: boolean;
    sends: number;
    servedAt?: number;
}

export const serverCount = 12;
export const slotsPerServer = 2;
export const placesPerServer = 4;
/** Callers of the first seconds, in which hosts learn how long answers take, don't count. */
export const warmUpMs = 3000;
const workspaceCount = 8;
const workDeviation = 0.4;

const normal = (random: Random): number => Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());

/** What the server does at a time. */
export const serverStateAt = (pattern: LoadPattern, index: number, now: number): ServerState => ({
    slowness: 1,
    declinesAll: false,
    resetProbability: 0,
    ...pattern.server?.(index, now),
});

/** Requests a second that all slots can serve. */
const roomPerS = (classes: readonly RequestClass[]): number =>
    1000 * serverCount * slotsPerServer / classes.reduce((sum, { share, workMs }) => sum + share * workMs, 0);

const pickClass = (classes: readonly RequestClass[], random: Random): RequestClass => {
    let rest = random.next();
    return classes.find(({ share }) => (rest -= share) < 0) ?? classes[0]!;
};

/** Draws the callers of a pattern, in the order of their arrival. */
export const drawCallers = (pattern: LoadPattern, random: Random): Caller[] => {
    const callers: Caller[] = [];
    const leastUrgent = Math.max(...pattern.classes.map(({ priority }) => priority));
    let now = 0;
    for (const { untilMs, ratio } of pattern.phases) {
        const perMs = ratio * roomPerS(pattern.classes) / 1000;
        for (;;) {
            const gapMs = -Math.log(1 - random.next()) / perMs;
            if (now + gapMs > untilMs) {
                now = untilMs;
                break;
            }
            now += gapMs;
            const requestClass = pickClass(pattern.classes, random);
            const isHot = random.next() < (pattern.hotWorkspaceShare ?? 0);
            const spread = Math.exp(workDeviation * normal(random) - workDeviation * workDeviation / 2);
            callers.push({
                key: `k${callers.length}`,
                requestClass,
                workspace: `w${isHot ? 0 : random.below(workspaceCount)}`,
                firstAt: now,
                deadlineAt: now + requestClass.deadlineMs,
                workMs: requestClass.workMs * spread,
                repeats: requestClass.priority === leastUrgent && random.next() < (pattern.repeatingShare ?? 0),
                sends: 0,
            });
        }
    }
    return callers;
};

/** What the callers of one class got. */
export interface ClassResult {
    callers: number;
    served: number;
    inObjective: number;
    worth: number;
    sendsPerCaller: number;
}

const creditOf = ({ servedAt, firstAt, requestClass }: Caller): number => {
    if (servedAt === undefined) {
        return 0;
    }
    return servedAt - firstAt <= requestClass.objectiveMs ? requestClass.worth : requestClass.lateWorth;
};

/** Sums up the callers that `isCounted` selects. */
export const resultOf = (callers: readonly Caller[], isCounted: (caller: Caller) => boolean): ClassResult => {
    const counted = callers.filter(caller => caller.firstAt >= warmUpMs && isCounted(caller));
    const served = counted.filter(({ servedAt }) => servedAt !== undefined);
    return {
        callers: counted.length,
        served: served.length,
        inObjective: served.filter(caller => caller.servedAt! - caller.firstAt <= caller.requestClass.objectiveMs).length,
        worth: counted.reduce((sum, caller) => sum + creditOf(caller), 0),
        sendsPerCaller: counted.reduce((sum, { sends }) => sum + sends, 0) / Math.max(1, counted.length),
    };
};
