/** One attempt of a request through another entry host, which sends it to a backend server. */
import { AttemptOutcome } from "@cassiapick/core";
import type { ByteBudget, EntryPeer, PeerSelector, PieceBudget, ServerPool } from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";
import type { IncomingMessage } from "node:http";
import { attemptTimeoutMarginMs, maxBufferedBytesOf, remainingMsAt } from "./attempt.js";
import type { Attempt, AttemptRequest, AttemptResult } from "./attempt.js";
import {
    decodeForwardResult,
    encodeForwardRequest,
    forwardResultHeader,
    forwardTarget,
    maxForwardHeadBytes,
} from "./forward-protocol.js";
import type { ForwardResult } from "./forward-protocol.js";
import { headerValue } from "./headers.js";
import { startHttpCall } from "./http-call.js";
import type { ResponseHead } from "./http-call.js";

/** Dependencies that all attempts of a host share. */
export interface ForwardAttemptDependencies {
    pool: Pick<ServerPool, "leavingServers" | "recordLeaving">;
    peers: PeerSelector;
    localAddress?: string;
    clock: () => number;
    log: EventLog;
    /** The bytes of answers that this host may hold. */
    answerBudget?: ByteBudget;
    /** The short pieces of bodies that this host takes. */
    pieceBudget?: PieceBudget;
}

/** Timeout for the connection and the peer's confirmation, in milliseconds: two round trips between regions, and a lost packet. */
const confirmationTimeoutMs = 450;

const malformedResult: ForwardResult = { outcome: AttemptOutcome.Broken, detail: "the other entry host sent no valid result" };

/** Starts an attempt through `peer`; servers with a number in `excluded` don't get the request. */
export const startForwardAttempt = (
    req: AttemptRequest,
    peer: EntryPeer,
    excluded: Iterable<number>,
    dependencies: ForwardAttemptDependencies,
): Attempt => {
    const { clock, log, peers, pool } = dependencies;
    const startedAt = clock();
    const remainingMs = remainingMsAt(req, startedAt);
    let forwardResult: ForwardResult | undefined;

    const readHead = (res: IncomingMessage): ResponseHead => {
        forwardResult = decodeForwardResult(headerValue(res.rawHeaders, forwardResultHeader)) ?? malformedResult;
        const { outcome, detail, answer } = forwardResult;
        return answer === undefined
            ? { kind: "rejected", outcome, detail }
            : { kind: "answer", status: answer.status, headers: answer.headers };
    };

    const call = startHttpCall({
        address: peer.address,
        method: "POST",
        target: forwardTarget,
        headers: ["Host", peer.address, "Expect", "100-continue", "Transfer-Encoding", "chunked", "Connection", "close"],
        body: () =>
            encodeForwardRequest({
                requestId: req.requestId,
                requestKey: req.requestKey,
                routeName: req.routeName,
                latencyObjectiveMs: req.latencyObjectiveMs,
                service: req.service,
                repeatability: req.repeatability,
                hasLargeAnswer: req.hasLargeAnswer,
                remainingMs: remainingMsAt(req, clock()),
                // The other host may not have learned yet that a server is leaving.
                excluded: [...excluded, ...pool.leavingServers(req.service)],
                method: req.method,
                target: req.target,
                headers: [...req.headers],
                body: req.body,
            }),
    }, {
        localAddress: dependencies.localAddress,
        connectTimeoutMs: Math.min(confirmationTimeoutMs, remainingMs),
        timeoutMs: remainingMs + attemptTimeoutMarginMs,
        maxBufferedBytes: maxBufferedBytesOf(req),
        budget: dependencies.answerBudget,
        pieceBudget: dependencies.pieceBudget,
        awaitsConfirmation: true,
        maxHeadBytes: maxForwardHeadBytes,
        readHead,
    });

    const recordEnd = ({ outcome, detail }: AttemptResult): void => {
        if (forwardResult?.isLeaving === true && forwardResult.server !== undefined) {
            pool.recordLeaving(forwardResult.server.number);
        }
        if (forwardResult === undefined && outcome !== AttemptOutcome.Cancelled) {
            peers.failed(peer.address, undefined, clock());
        }
        else if (forwardResult?.isUnavailable === true && forwardResult.isShortOfMemory !== true) {
            peers.failed(peer.address, req.service, clock());
        }
        log.log("requestForwarded", {
            requestId: req.requestId,
            route: req.routeName,
            peer: peer.address,
            serverId: forwardResult?.server?.serverId,
            outcome,
            detail,
            elapsedMs: Math.round(clock() - startedAt),
        });
    };

    return {
        ...call,
        hasServerEnded: call.result.then(() => forwardResult?.hasServerEnded === true),
        result: call.result.then(({ outcome, answer, detail }) => {
            const isTurnedAway = forwardResult?.isUnavailable === true;
            const result = { outcome, answer, detail, server: forwardResult?.server, isTurnedAway };
            recordEnd(result);
            return result;
        }),
    };
};
