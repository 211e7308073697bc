/** Proof on real sockets: every accepted answer is the whole answer to its own request. */
import { createNaiveClient } from "@cassiapick/baseline";
import { AttemptClass, createRandom, EntryActionKind, EntryEventKind } from "@cassiapick/core";
import type { EntryEvent, Random } from "@cassiapick/core";
import { createAttemptRunner, createHttpDispatchers } from "@cassiapick/entry";
import type { AnswerSink, PendingCaller } from "@cassiapick/entry";
import type { Proof } from "./proof.js";
import { ScriptStep, startScriptedBackend } from "./scripted-backend.js";
import type { ScriptedBackendOptions } from "./scripted-backend.js";

const caseCount = 60;
const requestsPerCase = 8;
const maxBodyRepeats = 40;
const deadlineMs = 5000;
const bufferBytes = 1_048_576;
const allSteps = Object.values(ScriptStep);

interface WholeAnswerCase extends ScriptedBackendOptions {
    /** Whether the requests are idempotent; one that is not must run at most once and gets a new connection. */
    idempotent: boolean;
}

/** Sends one request and resolves with the body that was accepted as its whole answer, or with `undefined`. */
type SendRequest = (mark: string) => Promise<string | undefined>;

const drawCase = (random: Random): WholeAnswerCase => {
    const repeats = 1 + random.below(maxBodyRepeats);
    return {
        steps: Array.from(
            { length: requestsPerCase },
            () => random.next() < 0.4 ? ScriptStep.Whole : allSteps[random.below(allSteps.length)]!,
        ),
        echoesAttemptId: random.next() < 0.5,
        idempotent: random.next() < 0.7,
        bodyOf: mark => `<${mark.repeat(repeats)}>`,
    };
};

const discardingSink: AnswerSink = { begin: () => undefined, write: () => true };

const createCassiapickSender = (port: number, idempotent: boolean): { send: SendRequest; close: () => Promise<void>; } => {
    const clients = createHttpDispatchers();
    const pendingAttempts = new Map<string, (event: Extract<EntryEvent, { kind: EntryEventKind.AttemptEnded; }>) => void>();
    const runner = createAttemptRunner({
        dispatchers: clients,
        bufferBytes,
        hopToken: "unused",
        now: () => performance.now(),
        sendEvent: event => {
            if (event.kind === EntryEventKind.AttemptEnded) {
                pendingAttempts.get(event.attemptId)?.(event);
            }
        },
        createSink: () => discardingSink,
        onStreamed: () => undefined,
        onForwarded: () => undefined,
    });

    const send: SendRequest = async mark => {
        const attemptId = `${mark}/1`;
        const info = {
            requestId: mark,
            brand: "b",
            kind: "k",
            method: "GET",
            fingerprint: "",
            requestKey: "",
            deadlineAt: 0,
            visited: [],
        };
        const caller = { info, path: `/${mark}`, headers: { "x-mark": mark }, body: Buffer.alloc(0) } as unknown as PendingCaller;
        const attemptEnded = new Promise<Extract<EntryEvent, { kind: EntryEventKind.AttemptEnded; }>>(resolve => {
            pendingAttempts.set(attemptId, resolve);
        });
        const deadlineAt = performance.now() + deadlineMs;
        const action = { requestId: mark, attemptId, serverId: "s", host: "127.0.0.1", port, deadlineAt, idempotent };
        runner.startAttempt({ kind: EntryActionKind.Attempt, ...action }, caller);
        const { attemptClass } = await attemptEnded;
        return attemptClass === AttemptClass.Success ? runner.takeAnswer(attemptId)?.body.toString("latin1") : undefined;
    };

    return { send, close: () => clients.close() };
};

const createNaiveSender = (port: number): { send: SendRequest; close: () => Promise<void>; } => {
    const client = createNaiveClient("127.0.0.1", port);
    return {
        send: mark => client.get(`/${mark}`, { "x-mark": mark, "cassiapick-attempt": `${mark}/1` }),
        close: () => {
            client.close();
            return Promise.resolve();
        },
    };
};

/** Runs one case; resolves with the first wrongly accepted answer, or with `undefined`. */
const runCase = async (testCase: WholeAnswerCase, createSender: typeof createNaiveSender): Promise<string | undefined> => {
    const backend = await startScriptedBackend(testCase);
    const sender = createSender(backend.port);
    let violation: string | undefined;
    for (let index = 0; index < requestsPerCase; index += 1) {
        const mark = `m${index}`;
        const body = await sender.send(mark);
        if (body !== undefined && body !== testCase.bodyOf(mark)) {
            violation ??= `${mark} (${testCase.steps[index]!}) accepted '${body.slice(0, 20)}'`;
        }
        // A surplus answer that is sent late can arrive before the next request is sent.
        await new Promise(resolve => setImmediate(resolve));
    }
    await sender.close();
    await backend.close();
    return violation;
};

/** Runs the proof of whole answers. */
export const proveWholeAnswer: Proof = async options => {
    const random = createRandom(options.seed);
    const notes: string[] = [];
    let naiveViolations = 0;
    let cassiapickViolations = 0;
    for (let index = 0; index < caseCount; index += 1) {
        const testCase = drawCase(random);
        naiveViolations += await runCase(testCase, createNaiveSender) === undefined ? 0 : 1;
        const violation = await runCase(testCase, port => createCassiapickSender(port, testCase.idempotent));
        if (violation !== undefined) {
            cassiapickViolations += 1;
            notes.push(`case ${index}: ${violation}`);
        }
    }
    return { cases: caseCount, naiveViolations, cassiapickViolations, notes };
};
