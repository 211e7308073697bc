/** Waiting on the real clock. */

export const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

const pollMs = 25;

/** Resolves with whether the condition became true within `timeoutMs`. */
export const waitFor = async (condition: () => boolean | Promise<boolean>, timeoutMs: number): Promise<boolean> => {
    const until = performance.now() + timeoutMs;
    while (!await condition()) {
        if (performance.now() >= until) {
            return false;
        }
        await sleep(pollMs);
    }
    return true;
};
