/** Simulates a backend server that may run a request or not, and may report this, report nothing, or report it late. */
import { AttemptClass } from "@cassiapick/core";
import type { Random } from "@cassiapick/core";
import type { Timeline } from "./timeline.js";

/** What happens to one attempt. */
export interface AttemptBehaviour {
    /** Whether the backend server runs the request, unless a cancellation arrives first. */
    runs: boolean;
    /** How the entry host classifies the end; `undefined` when it receives nothing. */
    observedClass: AttemptClass | undefined;
}

/** The behaviours to draw from; success is listed several times to be more likely. */
const behaviours: readonly AttemptBehaviour[] = [
    ...Array.from({ length: 8 }, () => ({ runs: true, observedClass: AttemptClass.Success })),
    // A 503 of the server itself that says that the request was not run.
    { runs: false, observedClass: AttemptClass.Shed },
    { runs: false, observedClass: AttemptClass.Shed },
    // A refused connection.
    { runs: false, observedClass: AttemptClass.NotSent },
    // A 5xx that does not say so, without and with a run.
    { runs: false, observedClass: AttemptClass.ServerError },
    { runs: true, observedClass: AttemptClass.ServerError },
    { runs: false, observedClass: AttemptClass.Cut },
    { runs: true, observedClass: AttemptClass.Cut },
    { runs: true, observedClass: AttemptClass.Corrupt },
    // Neither an answer nor a closed connection.
    { runs: false, observedClass: undefined },
    { runs: true, observedClass: undefined },
];

/** One attempt at the backend server. */
export interface FakeRun {
    /** Sends a cancellation, which prevents a run that has not begun when it arrives. */
    cancel(): void;
}

/** Options of {@link startRun}. */
export interface FakeRunCfg {
    timeline: Timeline;
    random: Random;
    /** Called when the request runs. */
    onRun(): void;
    /** Called when the end of the attempt reaches the entry host. */
    onEnd(attemptClass: AttemptClass): void;
}

const latencyMs = 1;
const typicalMaxMs = 40;
const slowMaxMs = 900;

/** Draws the delay of a request or an answer: slow sockets deliver requests late, and slow servers answer late. */
const drawDelayMs = (random: Random): number => random.below(random.next() < 0.1 ? slowMaxMs : typicalMaxMs);

/** Sends one attempt to a backend server with a random behaviour. */
export const startRun = (cfg: FakeRunCfg): FakeRun => {
    const { timeline, random } = cfg;
    const behaviour = behaviours[random.below(behaviours.length)]!;
    const runAfterMs = latencyMs + drawDelayMs(random);
    const endAfterMs = runAfterMs + drawDelayMs(random) + latencyMs;
    let isCancelled = false;
    timeline.after(runAfterMs, () => {
        if (behaviour.runs && !isCancelled) {
            cfg.onRun();
        }
    });
    timeline.after(endAfterMs, () => {
        if (behaviour.observedClass !== undefined && !isCancelled) {
            cfg.onEnd(behaviour.observedClass);
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
