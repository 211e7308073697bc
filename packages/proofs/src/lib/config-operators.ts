/** Operators that race with equal expected versions and send a change again when its answer is lost. */
import { DetectionMode, noVersion, StateReplyKind, StateRequestKind } from "@cassiapick/core";
import type { ApplyRequest, Random, StateReply, Tables, Version } from "@cassiapick/core";
import type { ConfigChecker } from "./config-checker.js";
import type { Cluster } from "./config-cluster.js";
import type { Timeline } from "./timeline.js";

const maxThinkMs = 20;
const answerTimeoutMs = 100;
const maxSends = 6;
/** The shares of what an operator does next. */
const readShare = 0.25;
const watchShare = 0.25;
const sendAgainShare = 0.3;

const tablesOf = (changeId: string): Tables => ({
    routes: [{ brand: changeId, kind: "book", destination: "bookings", timeoutMs: 1000 }],
    pools: [{ destination: "bookings", service: "bookings", floorShare: 0.5, detection: DetectionMode.Prompt }],
});

/** What the operators of one case share. */
export interface OperatorOptions {
    cluster: Cluster;
    clock: Timeline;
    random: Random;
    checker: ConfigChecker;
    /** When the operators stop, in milliseconds. */
    untilMs: number;
}

/** Starts one operator. */
export const startOperator = (name: string, options: OperatorOptions): void => {
    const { cluster, clock, random, checker } = options;
    let seen: Version = noVersion;
    let changes = 0;
    let lastRequest: ApplyRequest | undefined;

    const anyHost = (): string => cluster.hostIds[random.below(cluster.hostIds.length)]!;

    const think = (): void => {
        clock.after(random.next() * maxThinkMs, act);
    };

    const notice = (reply: StateReply): void => {
        if (reply.kind === StateReplyKind.Applied || reply.kind === StateReplyKind.Conflict) {
            seen = reply.version;
        }
    };

    const isFinal = (reply: StateReply): boolean =>
        reply.kind === StateReplyKind.Applied || reply.kind === StateReplyKind.Conflict;

    const send = (request: ApplyRequest, sends: number): void => {
        let settled = false;
        const goOn = (again: boolean): void => {
            if (settled) {
                return;
            }
            settled = true;
            if (again && sends < maxSends && clock.now() < options.untilMs) {
                send(request, sends + 1);
                return;
            }
            think();
        };
        cluster.request(anyHost(), request, reply => {
            checker.decided(request.changeId, reply);
            notice(reply);
            goOn(!isFinal(reply));
        });
        clock.after(answerTimeoutMs, () => goOn(true));
    };

    const apply = (): void => {
        changes += 1;
        const changeId = `${name}-${changes}`;
        lastRequest = { kind: StateRequestKind.Apply, changeId, expectedVersion: seen, tables: tablesOf(changeId), author: name };
        send(lastRequest, 1);
    };

    const read = (): void => {
        const latest = checker.latestKnown();
        cluster.request(anyHost(), { kind: StateRequestKind.Read }, reply => {
            if (reply.kind === StateReplyKind.Tables) {
                checker.read(reply.versioned, latest);
                seen = reply.versioned.version;
            }
        });
        think();
    };

    const watch = (): void => {
        const hostId = anyHost();
        const indexAtStart = checker.watchedIndex(hostId);
        cluster.request(hostId, { kind: StateRequestKind.Watch, known: noVersion, waitMs: 0, hostId: name }, reply => {
            if (reply.kind === StateReplyKind.Tables) {
                checker.watched(hostId, reply.versioned, indexAtStart);
            }
        });
        think();
    };

    const act = (): void => {
        if (clock.now() >= options.untilMs) {
            return;
        }
        const draw = random.next();
        if (draw < readShare) {
            read();
        }
        else if (draw < readShare + watchShare) {
            watch();
        }
        else if (lastRequest !== undefined && random.next() < sendAgainShare) {
            send(lastRequest, maxSends);
        }
        else {
            apply();
        }
    };

    think();
};
