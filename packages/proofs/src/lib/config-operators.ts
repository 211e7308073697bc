/** Simulates operators that race with equal expected versions and resend a change when its reply is lost. */
import { DetectionMode, noVersion, StateReplyKind, StateRequestKind } from "@cassiapick/core";
import type { ApplyRequest, Random, StateReply, Tables, Version } from "@cassiapick/core";
import type { ConfigChecker } from "./config-checker.js";
import type { Cluster } from "./config-cluster.js";
import type { Timeline } from "./timeline.js";

/** The longest time that an operator waits before its next request. */
const maxIdleMs = 20;
const answerTimeoutMs = 100;
const maxAttempts = 6;
/** The probabilities of what an operator does next; otherwise it submits a new change. */
const readShare = 0.25;
const watchShare = 0.25;
const resendShare = 0.3;

const tablesOf = (changeId: string): Tables => ({
    routes: [{ brand: changeId, kind: "book", destination: "bookings", timeoutMs: 1000 }],
    pools: [{ destination: "bookings", service: "bookings", floorShare: 0.5, detection: DetectionMode.Prompt }],
});

/** Options of {@link startOperator}. */
export interface OperatorOptions {
    cluster: Cluster;
    timeline: Timeline;
    random: Random;
    checker: ConfigChecker;
    /** When the operators stop sending requests, in milliseconds. */
    untilMs: number;
}

/** Starts one operator. */
export const startOperator = (name: string, options: OperatorOptions): void => {
    const { cluster, timeline, random, checker } = options;
    let knownVersion: Version = noVersion;
    let changeCount = 0;
    let lastRequest: ApplyRequest | undefined;

    const pickHost = (): string => cluster.hostIds[random.below(cluster.hostIds.length)]!;

    const scheduleNextRequest = (): void => {
        timeline.after(random.next() * maxIdleMs, sendNextRequest);
    };

    const recordVersion = (reply: StateReply): void => {
        if (reply.kind === StateReplyKind.Applied || reply.kind === StateReplyKind.Conflict) {
            knownVersion = reply.version;
        }
    };

    const isFinal = (reply: StateReply): boolean =>
        reply.kind === StateReplyKind.Applied || reply.kind === StateReplyKind.Conflict;

    const send = (request: ApplyRequest, attempt: number): void => {
        let isFinished = false;
        const finishAttempt = (shouldRetry: boolean): void => {
            if (isFinished) {
                return;
            }
            isFinished = true;
            if (shouldRetry && attempt < maxAttempts && timeline.now() < options.untilMs) {
                send(request, attempt + 1);
                return;
            }
            scheduleNextRequest();
        };
        cluster.request(pickHost(), request, reply => {
            checker.recordReply(request.changeId, reply);
            recordVersion(reply);
            finishAttempt(!isFinal(reply));
        });
        timeline.after(answerTimeoutMs, () => finishAttempt(true));
    };

    const apply = (): void => {
        changeCount += 1;
        const changeId = `${name}-${changeCount}`;
        lastRequest = {
            kind: StateRequestKind.Apply,
            changeId,
            expectedVersion: knownVersion,
            tables: tablesOf(changeId),
            author: name,
        };
        send(lastRequest, 1);
    };

    const read = (): void => {
        const latestAtStart = checker.latestKnownIndex();
        cluster.request(pickHost(), { kind: StateRequestKind.Read }, reply => {
            if (reply.kind === StateReplyKind.Tables) {
                checker.recordRead(reply.versioned, latestAtStart);
                knownVersion = reply.versioned.version;
            }
        });
        scheduleNextRequest();
    };

    const watch = (): void => {
        const hostId = pickHost();
        const indexAtStart = checker.watchedIndex(hostId);
        cluster.request(hostId, { kind: StateRequestKind.Watch, known: noVersion, waitMs: 0, hostId: name }, reply => {
            if (reply.kind === StateReplyKind.Tables) {
                checker.recordWatch(hostId, reply.versioned, indexAtStart);
            }
        });
        scheduleNextRequest();
    };

    const sendNextRequest = (): void => {
        if (timeline.now() >= options.untilMs) {
            return;
        }
        const draw = random.next();
        if (draw < readShare) {
            read();
        }
        else if (draw < readShare + watchShare) {
            watch();
        }
        else if (lastRequest !== undefined && random.next() < resendShare) {
            send(lastRequest, maxAttempts);
        }
        else {
            apply();
        }
    };

    scheduleNextRequest();
};
