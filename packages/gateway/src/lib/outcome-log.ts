/** Logs and counts how the requests of callers ended. */
import type { EventLog } from "@cassiapick/operations";
import type { GatewayMetrics } from "./gateway-metrics.js";
import { ReplyKind } from "./request-runner.js";
import type { CallerRequest, Reply } from "./request-runner.js";

/** Options of {@link createOutcomeLog}. */
export interface OutcomeLogOptions {
    clock: () => number;
    log: EventLog;
    metrics: GatewayMetrics;
}

/** Records the end of each request that was run. */
export type OutcomeLog = (caller: CallerRequest, reply: Reply) => void;

const msPerSecond = 1000;
/** Most served requests that are logged per second; the others are only counted. */
const maxServedLogsPerSecond = 20;
/** Most workspaces that are counted by name; the requests of the others are counted together. */
const maxCountedWorkspaces = 100;
const otherWorkspaces = "other";

/** Creates the log of one host. */
export const createOutcomeLog = ({ clock, log, metrics }: OutcomeLogOptions): OutcomeLog => {
    let logSecond = 0;
    let logsInSecond = 0;
    const countedWorkspaces = new Set<string>();

    const mayLogServed = (): boolean => {
        const second = Math.floor(clock() / msPerSecond);
        logsInSecond = second === logSecond ? logsInSecond + 1 : 1;
        logSecond = second;
        return logsInSecond <= maxServedLogsPerSecond;
    };

    const countWorkspace = (name: string, reply: Reply): void => {
        if (countedWorkspaces.size < maxCountedWorkspaces) {
            countedWorkspaces.add(name);
        }
        const workspace = countedWorkspaces.has(name) ? name : otherWorkspaces;
        const result = reply.kind === ReplyKind.Answer ? "answered" : "not-answered";
        metrics.increment("cassiapick_workspace_requests_total", { workspace, result });
    };

    return (caller, reply) => {
        const elapsedMs = Math.round(clock() - caller.arrivedAt);
        const { requestId, requestKey, callerAddress, route, configNumber, workspace } = caller;
        const commonFields = { requestId, route: route.name, workspace, configNumber, elapsedMs };
        metrics.increment("cassiapick_requests_total", { route: route.name, outcome: reply.kind });
        metrics.observe("cassiapick_request_ms", elapsedMs);
        if (workspace !== undefined) {
            countWorkspace(workspace, reply);
        }
        if (reply.kind === ReplyKind.Answer) {
            const { status } = reply.answer;
            if (status >= 400 || mayLogServed()) {
                const { serverId, attemptCount, detail } = reply;
                log.log("requestServed", { ...commonFields, status, serverId, sends: attemptCount, detail });
            }
        }
        else if (reply.kind === ReplyKind.CallerDisconnected) {
            log.log("callerLeft", commonFields);
        }
        else if (reply.kind === ReplyKind.Unauthorized) {
            log.log("requestUnauthorized", { ...commonFields, caller: callerAddress, reason: reply.reason });
        }
        else if (reply.kind === ReplyKind.Refused || reply.kind === ReplyKind.OverQuota) {
            log.log("requestRefused", {
                ...commonFields,
                requestKey,
                caller: callerAddress,
                reason: reply.reason,
                retryAfterMs: Math.round(reply.retryAfterMs),
            });
        }
        else {
            log.log("requestFailed", {
                ...commonFields,
                requestKey,
                caller: callerAddress,
                outcome: reply.kind,
                reason: reply.reason,
            });
        }
    };
};
