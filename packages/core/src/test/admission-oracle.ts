/** Serves a load pattern with full knowledge of all work and room: what no fleet can exceed by much. */
import type { Caller, LoadPattern } from "./admission-load.js";
import { resultOf, serverCount, slotsPerServer } from "./admission-load.js";

type Preference = (caller: Caller) => number;
const preferences: Preference[] = [
    caller => caller.workMs,
    caller => caller.firstAt + caller.requestClass.objectiveMs - caller.workMs,
];

const stepMs = 5;

/** Serves the callers with a preference among those of one priority that can still be served within the objective. */
const serve = (callers: Caller[], pattern: LoadPattern, preference: Preference): void => {
    const slots = Array.from({ length: serverCount * slotsPerServer }, (_, index) => ({ index, freeAt: 0 }));
    const arriving = [...callers];
    let waiting: Caller[] = [];
    const endMs = Math.max(...callers.map(({ deadlineAt }) => deadlineAt));
    for (let now = 0; now < endMs; now += stepMs) {
        while (arriving.length > 0 && arriving[0]!.firstAt <= now) {
            waiting.push(arriving.shift()!);
        }
        waiting = waiting.filter(({ deadlineAt, workMs }) => now + workMs <= deadlineAt);
        for (const slot of slots) {
            const state = pattern.server?.(Math.floor(slot.index / slotsPerServer), now) ?? {};
            if (slot.freeAt > now || waiting.length === 0 || state.declinesAll === true || (state.resetProbability ?? 0) > 0) {
                continue;
            }
            const slowness = state.slowness ?? 1;
            const isLate = (caller: Caller): boolean =>
                now + caller.workMs * slowness > caller.firstAt + caller.requestClass.objectiveMs;
            const rank = (caller: Caller): number =>
                caller.requestClass.priority * 1e9 + (isLate(caller) ? 1e8 : 0) + preference(caller);
            const best = waiting.reduce((a, b) => rank(b) < rank(a) ? b : a);
            if (now + best.workMs * slowness > best.deadlineAt) {
                continue;
            }
            waiting.splice(waiting.indexOf(best), 1);
            slot.freeAt = now + best.workMs * slowness;
            best.servedAt = slot.freeAt;
            best.sends = 1;
        }
    }
};

/** Returns the callers as served by the best of a few preferences. */
export const playOracle = (callers: readonly Caller[], pattern: LoadPattern): Caller[] => {
    const plays = preferences.map(preference => {
        const copies = callers.map(caller => ({ ...caller }));
        serve(copies, pattern, preference);
        return copies;
    });
    const worthOf = (played: Caller[]): number => resultOf(played, () => true).worth;
    return plays.reduce((a, b) => worthOf(b) > worthOf(a) ? b : a);
};
