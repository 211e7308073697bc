/** Runs a case: exit code 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
import { openRecord, record } from "./record.js";

/** Whether the disruption is part of this run; `TROUBLE=0` leaves it out. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** Runs `play`, which resolves with what broke the rule; `close` ends what it started. */
export const runCase = async (folder: string, play: () => Promise<string[]>, close: () => Promise<void>): Promise<void> => {
    openRecord(folder);
    // Whoever ends the case early ends what it has started too.
    for (const signal of ["SIGINT", "SIGTERM"] as const) {
        process.once(signal, () => void close().then(() => process.exit(2)));
    }
    record(hasTrouble ? "with the disruption" : "without the disruption");
    let code = 2;
    try {
        const breaks = await play();
        breaks.forEach(line => record(`BROKEN ${line}`));
        record(breaks.length === 0 ? "the rule held" : `the rule was broken ${breaks.length} times`);
        process.stdout.write(breaks.length === 0 ? "held\n" : `broken ${breaks.length} times: ${breaks[0]!}\n`);
        code = breaks.length === 0 ? 0 : 1;
    }
    catch (err) {
        record(`could not run: ${(err as Error).stack ?? String(err)}`);
        process.stdout.write(`could not run: ${(err as Error).message}\n`);
    }
    await close();
    process.exit(code);
};
