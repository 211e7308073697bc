/** The record of a case: what was sent, answered and run. */
import { appendFileSync, writeFileSync } from "node:fs";

const startedAt = performance.now();
let path = "record.txt";

/** Begins the record of the case in `folder`. */
export const openRecord = (folder: string): void => {
    path = `${folder}/record.txt`;
    writeFileSync(path, "");
};

/** Adds a line with the time since the start. */
export const record = (line: string): void => {
    const seconds = ((performance.now() - startedAt) / 1000).toFixed(3);
    appendFileSync(path, `${seconds.padStart(8)} ${line}\n`);
};

export const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Waits until `condition` holds; throws after `timeoutMs`. */
export const waitUntil = async (what: string, condition: () => boolean | Promise<boolean>, timeoutMs = 20_000): Promise<void> => {
    const end = performance.now() + timeoutMs;
    while (!await condition()) {
        if (performance.now() > end) {
            throw new Error(`Not within ${timeoutMs} ms: ${what}`);
        }
        await sleep(50);
    }
};
