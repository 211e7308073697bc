/** Writes what was sent, answered and run to `record.txt` in the folder of a case. */
import { appendFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

export interface CaseRecord {
    /** Adds a line with the time since the start. */
    add(line: string): void;
}

const msPerSecond = 1000;

/** Starts an empty record in `folder`. */
export const startRecord = (folder: string): CaseRecord => {
    const path = join(folder, "record.txt");
    const startedAt = performance.now();
    writeFileSync(path, "");
    return {
        add: line => {
            const text = `${((performance.now() - startedAt) / msPerSecond).toFixed(3)} s  ${line}\n`;
            appendFileSync(path, text);
            process.stdout.write(text);
        },
    };
};
