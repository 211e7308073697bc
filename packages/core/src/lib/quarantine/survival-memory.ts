/** Remembers for a while which requests servers have answered completely, so that one of them is not suspected at its first end. */

/** The requests that servers answered to one host lately. Times are in milliseconds of the host's clock. */
export interface SurvivalMemory {
    record(key: string, now: number): void;
    /** When a server last answered the request; `undefined` if none did within the memory's time. */
    survivedAt(key: string, now: number): number | undefined;
}

/** Most requests that are remembered; the oldest one makes room. */
const maxRequests = 4096;

/** Creates an empty memory that forgets a request after `keepMs`. */
export const createSurvivalMemory = (keepMs: number): SurvivalMemory => {
    // A Map iterates in insertion order and a repeated request moves to the end, so the oldest one comes first.
    const survivedAtByKey = new Map<string, number>();
    return {
        record: (key, now) => {
            survivedAtByKey.delete(key);
            survivedAtByKey.set(key, now);
            if (survivedAtByKey.size > maxRequests) {
                survivedAtByKey.delete(survivedAtByKey.keys().next().value!);
            }
        },
        survivedAt: (key, now) => {
            const survivedAt = survivedAtByKey.get(key);
            return survivedAt !== undefined && now - survivedAt <= keepMs ? survivedAt : undefined;
        },
    };
};
