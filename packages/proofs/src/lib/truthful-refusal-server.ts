/** A fake backend server that runs a request or not, and tells the truth, nothing, or too late. */
import { AttemptClass } from "@cassiapick/core";
import type { Random } from "@cassiapick/core";
import type { Timeline } from "./timeline.js";

/** What becomes of one attempt. Times are in milliseconds. */
export interface Behaviour {
    /** Whether the backend server runs the request, unless the cancellation comes first. */
    runs: boolean;
    /** How the entry host sees the end; `undefined` when it hears nothing. */
    seen: AttemptClass | undefined;
}

/** Every way in which an attempt goes, the good one several times. */
const behaviours: readonly Behaviour[] = [
    ...Array.from({ length: 8 }, () => ({ runs: true, seen: AttemptClass.Success })),
    // Its own 503 with the mark that it was not run.
    { runs: false, seen: AttemptClass.Shed },
    { runs: false, seen: AttemptClass.Shed },
    // A refused connection.
    { runs: false, seen: AttemptClass.NotSent },
    // A 5xx without the mark, once before and once after running.
    { runs: false, seen: AttemptClass.ServerError },
    { runs: true, seen: AttemptClass.ServerError },
    { runs: false, seen: AttemptClass.Cut },
    { runs: true, seen: AttemptClass.Cut },
    { runs: true, seen: AttemptClass.Corrupt },
    // Neither an answer nor an end.
    { runs: false, seen: undefined },
    { runs: true, seen: undefined },
];

/** One attempt as the backend server has it. */
export interface FakeRun {
    /** The cancellation is on its way; it stops a run that has not begun. */
    cancel(): void;
}

/** Options of {@link startRun}. */
export interface FakeRunCfg {
    timeline: Timeline;
    random: Random;
    /** Called when the request runs. */
    ran(): void;
    /** Called when the entry host sees the end. */
    ended(attemptClass: AttemptClass): void;
}

const latencyMs = 1;
const usualMs = 40;
const slowMs = 900;

/** Slow sockets deliver the request long after it was handed to them, and slow servers answer late. */
const drawDelay = (random: Random): number => random.below(random.next() < 0.1 ? slowMs : usualMs);

/** Sends one attempt to a backend server that behaves as drawn. */
export const startRun = (cfg: FakeRunCfg): FakeRun => {
    const { timeline, random } = cfg;
    const behaviour = behaviours[random.below(behaviours.length)]!;
    const runAfterMs = latencyMs + drawDelay(random);
    const endAfterMs = runAfterMs + drawDelay(random) + latencyMs;
    let isCancelled = false;
    timeline.after(runAfterMs, () => {
        if (behaviour.runs && !isCancelled) {
            cfg.ran();
        }
    });
    timeline.after(endAfterMs, () => {
        if (behaviour.seen !== undefined && !isCancelled) {
            cfg.ended(behaviour.seen);
        }
    });
    return {
        cancel: () => {
            timeline.after(latencyMs, () => {
                isCancelled = true;
            });
        },
    };
};
