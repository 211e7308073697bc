/** Proof: every accepted answer is the whole answer to its own request, on real sockets. */
import { createNaiveClient } from "@cassiapick/baseline";
import { AttemptClass, createRandom, EntryActionKind, EntryEventKind } from "@cassiapick/core";
import type { EntryEvent, Random } from "@cassiapick/core";
import { createAttemptRunner, createHttpDispatchers } from "@cassiapick/entry";
import type { AnswerSink, PendingCaller } from "@cassiapick/entry";
import type { Proof } from "./proof.js";
import { ScriptStep, startScriptedBackend } from "./scripted-backend.js";
import type { ScriptedBackendOptions } from "./scripted-backend.js";

const cases = 60;
const requestsPerCase = 8;
const maxBodyRepeats = 40;
const deadlineMs = 5000;
const bufferBytes = 1_048_576;
const allSteps = Object.values(ScriptStep);

interface WholeAnswerCase extends ScriptedBackendOptions {
    /** Whether each request must run at most once, and so has a fresh connection. */
    idempotent: boolean;
}

/** Sends one request and resolves with the body that was accepted as its whole answer. */
type Send = (mark: string) => Promise<string | undefined>;

const drawCase = (random: Random): WholeAnswerCase => {
    const repeats = 1 + random.below(maxBodyRepeats);
    return {
        steps: Array.from(
            { length: requestsPerCase },
            () => random.next() < 0.4 ? ScriptStep.Whole : allSteps[random.below(allSteps.length)]!,
        ),
        echoes: random.next() < 0.5,
        idempotent: random.next() < 0.7,
        bodyOf: mark => `<${mark.repeat(repeats)}>`,
    };
};

const noSink: AnswerSink = { begin: () => undefined, write: () => true };

const createOwnSender = (port: number, idempotent: boolean): { send: Send; close: () => Promise<void>; } => {
    const clients = createHttpDispatchers();
    const waiting = new Map<string, (event: Extract<EntryEvent, { kind: EntryEventKind.AttemptEnded; }>) => void>();
    const runner = createAttemptRunner({
        dispatchers: clients,
        bufferBytes,
        hopToken: "unused",
        now: () => performance.now(),
        sendEvent: event => {
            if (event.kind === EntryEventKind.AttemptEnded) {
                waiting.get(event.attemptId)?.(event);
            }
        },
        createSink: () => noSink,
        onStreamed: () => undefined,
        onForwarded: () => undefined,
    });

    const send: Send = async mark => {
        const attemptId = `${mark}/1`;
        const info = { requestId: mark, brand: "b", kind: "k", method: "GET", fingerprint: "", deadlineAt: 0, visited: [] };
        const caller = { info, path: `/${mark}`, headers: { "x-mark": mark }, body: Buffer.alloc(0) } as unknown as PendingCaller;
        const ended = new Promise<Extract<EntryEvent, { kind: EntryEventKind.AttemptEnded; }>>(resolve => {
            waiting.set(attemptId, resolve);
        });
        const deadlineAt = performance.now() + deadlineMs;
        const action = { requestId: mark, attemptId, serverId: "s", host: "127.0.0.1", port, deadlineAt, idempotent };
        runner.startAttempt({ kind: EntryActionKind.Attempt, ...action }, caller);
        const { attemptClass } = await ended;
        return attemptClass === AttemptClass.Success ? runner.takeAnswer(attemptId)?.body.toString("latin1") : undefined;
    };

    return { send, close: () => clients.close() };
};

const createNaiveSender = (port: number): { send: Send; close: () => Promise<void>; } => {
    const client = createNaiveClient("127.0.0.1", port);
    return {
        send: mark => client.get(`/${mark}`, { "x-mark": mark, "cassiapick-attempt": `${mark}/1` }),
        close: () => {
            client.close();
            return Promise.resolve();
        },
    };
};

/** Runs one case; resolves with what was accepted wrongly, or `undefined`. */
const runCase = async (drawn: WholeAnswerCase, createSender: typeof createNaiveSender): Promise<string | undefined> => {
    const backend = await startScriptedBackend(drawn);
    const sender = createSender(backend.port);
    let wrong: string | undefined;
    for (let index = 0; index < requestsPerCase; index += 1) {
        const mark = `m${index}`;
        const body = await sender.send(mark);
        if (body !== undefined && body !== drawn.bodyOf(mark)) {
            wrong ??= `${mark} (${drawn.steps[index]!}) accepted '${body.slice(0, 20)}'`;
        }
        // A late surplus has the time to arrive before the next request is sent.
        await new Promise(resolve => setImmediate(resolve));
    }
    await sender.close();
    await backend.close();
    return wrong;
};

/** Runs the proof of whole answers. */
export const proveWholeAnswer: Proof = async options => {
    const random = createRandom(options.seed);
    const notes: string[] = [];
    let naiveViolated = 0;
    let ownViolated = 0;
    for (let index = 0; index < cases; index += 1) {
        const drawn = drawCase(random);
        naiveViolated += await runCase(drawn, createNaiveSender) === undefined ? 0 : 1;
        const wrong = await runCase(drawn, port => createOwnSender(port, drawn.idempotent));
        if (wrong !== undefined) {
            ownViolated += 1;
            notes.push(`case ${index}: ${wrong}`);
        }
    }
    return { cases, naiveViolated, ownViolated, notes };
};
