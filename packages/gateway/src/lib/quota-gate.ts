/** Lets requests of workspaces with a quota run only with a token of their workspace. */
import { createQuotaStock, LinkMessageKind } from "@cassiapick/core";
import type { GatewayConfig, LinkMessage, QuotaGrantRow } from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";
import { ReplyKind } from "./caller-request.js";
import type { CallerRequest, Reply, RequestRun } from "./caller-request.js";
import type { GatewayMetrics } from "./gateway-metrics.js";

/** Options of {@link createQuotaGate}. */
export interface QuotaGateOptions {
    /** A clock that also counts the time while the machine is suspended, in milliseconds. */
    clock: () => number;
    /** Sends asks to the state host; returns whether there is one that understands them. */
    send: (message: LinkMessage) => boolean;
    metrics: GatewayMetrics;
    log: EventLog;
}

/** The quotas at one entry host. */
export interface QuotaGate {
    setConfig(config: GatewayConfig): void;
    /** Starts a request once its workspace has a token for it. */
    run(req: CallerRequest, start: () => RequestRun): RequestRun;
    granted(rows: readonly QuotaGrantRow[]): void;
    /** The host is attached to another state host, or to none. */
    linkChanged(): void;
    /** Number of requests that wait for a token. */
    waiting(): number;
    close(): void;
}

/** A request waits at most this long for an answer of a state host, in milliseconds; one that is lost is replaced meanwhile. */
const maxWaitMs = 2000;
/** `Retry-After` of a request that no state host has decided, in milliseconds. */
const unknownRetryMs = 300;
const tickMs = 25;
/** Workspaces that have metrics of their own; the others share one. */
const maxMeteredWorkspaces = 40;
/** Requests that go on to find the same workspace refused are logged at most this often, in milliseconds. */
const logIntervalMs = 1000;

/** Creates the gate of a host that knows no quotas. */
export const createQuotaGate = ({ clock, send, metrics, log }: QuotaGateOptions): QuotaGate => {
    const stock = createQuotaStock();
    const meteredNames = new Set<string>();
    const loggedAt = new Map<string, number>();
    let limits = new Map<string, { ratePerS: number; burst: number; }>();

    const ask = (): void => {
        const rows = stock.drainAsks(clock());
        if (rows.length > 0 && !send({ k: LinkMessageKind.QuotaAsk, r: rows })) {
            stock.linkChanged();
        }
    };

    const count = (name: string, outcome: string): void => {
        if (meteredNames.size < maxMeteredWorkspaces) {
            meteredNames.add(name);
        }
        const workspace = meteredNames.has(name) ? name : "other";
        metrics.increment("cassiapick_quota_decisions_total", { workspace, outcome });
    };

    const logRefusal = (name: string, req: CallerRequest, retryAfterMs: number): void => {
        const now = clock();
        if (now - (loggedAt.get(name) ?? -Infinity) >= logIntervalMs) {
            loggedAt.set(name, now);
            const { requestId, configNumber } = req;
            log.log("quotaUsedUp", { requestId, workspace: name, configNumber, ...limits.get(name), retryAfterMs });
        }
    };

    const timer = setInterval(() => {
        stock.tick(clock());
        ask();
    }, tickMs);

    const runLimited = (req: CallerRequest, name: string, start: () => RequestRun): RequestRun => {
        let run: RequestRun | undefined;
        let isCancelled = false;
        let resolveReply: (reply: Reply) => void = () => undefined;
        const reply = new Promise<Reply>(resolve => {
            resolveReply = resolve;
        });

        const startAdmitted = (): void => {
            const admittedAt = clock();
            run = start();
            void run.reply.then(finalReply => {
                // A refused request has not run, so that its token is there for another one.
                if (finalReply.kind === ReplyKind.Refused) {
                    stock.giveBack(name, admittedAt, clock());
                }
                resolveReply(finalReply);
            });
        };

        const now = clock();
        const waitUntil = now + Math.min(maxWaitMs, Math.max(0, req.deadlineAt - req.arrivedAt));
        const withdraw = stock.request(name, now, waitUntil, decision => {
            count(name, decision.kind);
            if (isCancelled) {
                stock.giveBack(name, clock(), clock());
            }
            else if (decision.kind === "admitted") {
                startAdmitted();
            }
            else if (decision.kind === "over-quota") {
                const { retryAfterMs } = decision;
                logRefusal(name, req, retryAfterMs);
                resolveReply({
                    kind: ReplyKind.OverQuota,
                    retryAfterMs,
                    reason: "The workspace has used up its quota. Come back later.",
                });
            }
            else {
                resolveReply({
                    kind: ReplyKind.Refused,
                    retryAfterMs: unknownRetryMs,
                    reason: "No state host has confirmed the quota of the workspace. Come back later.",
                });
            }
        });
        ask();
        return {
            reply,
            cancel: () => {
                isCancelled = true;
                if (run === undefined) {
                    withdraw();
                    resolveReply({ kind: ReplyKind.CallerDisconnected });
                }
                else {
                    run.cancel();
                }
            },
            refuseUnsent: refusal => {
                if (run === undefined) {
                    isCancelled = true;
                    withdraw();
                    resolveReply(refusal);
                }
                else {
                    run.refuseUnsent(refusal);
                }
            },
        };
    };

    return {
        setConfig: ({ workspaces = [] }) => {
            limits = new Map(
                workspaces.flatMap(({ name, ratePerS = 0, burst }) => ratePerS > 0 ? [[name, { ratePerS, burst }]] : []),
            );
            stock.setWorkspaces(limits.keys(), clock());
        },
        run: (req, start) =>
            req.workspace === undefined || !limits.has(req.workspace) ? start() : runLimited(req, req.workspace, start),
        granted: rows => {
            stock.granted(rows, clock());
            ask();
        },
        linkChanged: () => {
            stock.linkChanged();
            ask();
        },
        waiting: () => stock.waiting(),
        close: () => clearInterval(timer),
    };
};
