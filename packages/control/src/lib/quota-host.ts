/** The quotas of workspaces at one state host: what it hands out to entry hosts, and what it divides while it leads. */
import {
    createQuotaDivision,
    createQuotaKeeper,
    createSuspensionClock,
    defaultQuotaBound,
    LinkMessageKind,
    quotaAmounts,
    StateRole,
} from "@cassiapick/core";
import type {
    ConfigNumber,
    EntryHello,
    GatewayConfig,
    LinkMessage,
    QuotaAskRow,
    QuotaBound,
    QuotaDemand,
    QuotaGrantRow,
    QuotaShares,
} from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";
import type { StateDriver } from "@cassiapick/state";
import type { Link } from "@cassiapick/wire";
import type { PeerLinks } from "./peer-links.js";

/** Options of {@link createQuotaHost}. */
export interface QuotaHostOptions {
    hostId: string;
    quotaBound?: QuotaBound;
    startedAt: number;
    /** Monotonic time in milliseconds. */
    clock: () => number;
    wallClock: () => number;
    log: EventLog;
    peerLinks: Pick<PeerLinks, "sendQuotas">;
    driver: Pick<StateDriver, "status" | "voters" | "viewAgeMs">;
}

type QuotaMessageKind = LinkMessageKind.QuotaAsk | LinkMessageKind.QuotaDemand | LinkMessageKind.QuotaShares;

/** Handlers of messages, by their kinds. */
export type QuotaHandlers = { [K in QuotaMessageKind]: (link: Link, message: Extract<LinkMessage, { k: K; }>) => void; };

/** The quotas at one state host. */
export interface QuotaHost {
    setConfig(config: GatewayConfig | undefined): void;
    /** Tells an entry host that it may ask for tokens. */
    hostAttached(link: Link, hello: EntryHello): void;
    linkClosed(link: Link): void;
    /** The handlers of messages about quotas; `peerOf` returns the state host of a link. */
    handlers(peerOf: (link: Link) => string | undefined): QuotaHandlers;
    /** Values for the metrics. */
    gauges(): Record<string, number>;
    close(): void;
}

const tickMs = 25;
/** Refusals of a workspace are logged at most this often, in milliseconds. */
const logIntervalMs = 1000;

/** Creates the quotas of a state host without a configuration. */
export const createQuotaHost = (options: QuotaHostOptions): QuotaHost => {
    const { hostId, quotaBound = defaultQuotaBound, clock, log, peerLinks, driver } = options;
    const heldClock = createSuspensionClock(clock, options.wallClock);
    const links = new Map<number, Link>();
    const keys = new Map<Link, number>();
    const loggedAt = new Map<string, number>();
    let nextKey = 1;
    let configNumber: ConfigNumber | undefined;
    let isActive = false;
    let loggedVersion = 0;

    const logRefusal = (workspace: string, retryAfterMs: number): void => {
        const now = clock();
        if (now - (loggedAt.get(workspace) ?? -Infinity) >= logIntervalMs) {
            loggedAt.set(workspace, now);
            log.log("quotaRefused", {
                workspace,
                share: keeper.shareOf(workspace),
                version: keeper.version(),
                configNumber,
                retryAfterMs,
            });
        }
    };

    const keeper = createQuotaKeeper({
        firstSequence: options.startedAt,
        sendGrant: (hostKey: number, row: QuotaGrantRow) => {
            if (row[2] > 0) {
                logRefusal(row[0], row[2]);
            }
            links.get(hostKey)?.send({ k: LinkMessageKind.QuotaGrant, r: [row] } satisfies LinkMessage);
        },
    });

    const applyShares = (message: QuotaShares): void => {
        const mustConfirm = keeper.setShares(message, heldClock());
        if (keeper.version() !== loggedVersion) {
            loggedVersion = keeper.version();
            log.log("quotaSharesChanged", { term: message.t, version: message.v, workspaces: message.r.length });
        }
        if (mustConfirm) {
            sendDemand();
        }
    };

    const division = createQuotaDivision({
        hostId,
        lend: (workspace, count) => keeper.lend(workspace, count, heldClock()),
        send: (to, message) => {
            if (to === hostId) {
                // What this host holds changes only after the division has finished its step.
                queueMicrotask(() => applyShares(message));
            }
            else {
                peerLinks.sendQuotas(to, { k: LinkMessageKind.QuotaShares, m: message });
            }
        },
    });

    const receiveDemand = (from: string, message: QuotaDemand): void =>
        division.demand(from, message, driver.viewAgeMs(), clock());

    const sendDemand = (): void => {
        const { term, leaderId } = driver.status();
        if (leaderId === undefined) {
            return;
        }
        const message = keeper.demandDue(term, heldClock());
        if (message === undefined) {
            return;
        }
        if (leaderId === hostId) {
            receiveDemand(hostId, message);
        }
        else {
            peerLinks.sendQuotas(leaderId, { k: LinkMessageKind.QuotaDemand, m: message });
        }
    };

    const follow = (): void => {
        const { role, term } = driver.status();
        division.setTerm(role === StateRole.Leader ? term : undefined, clock());
        division.setVoters(driver.voters(), clock());
        division.tick(driver.viewAgeMs(), clock());
    };

    const timer = setInterval(() => {
        if (isActive) {
            follow();
            keeper.tick(heldClock());
            sendDemand();
        }
    }, tickMs);

    const asked = (link: Link, rows: readonly QuotaAskRow[]): void => {
        const key = keys.get(link) ?? nextKey;
        nextKey = Math.max(nextKey, key + 1);
        keys.set(link, key);
        links.set(key, link);
        const now = heldClock();
        rows.forEach(row => keeper.ask(key, row, now));
        if (isActive) {
            sendDemand();
        }
    };

    const demandReceived = (from: string | undefined, message: QuotaDemand): void => {
        if (isActive && from !== undefined) {
            follow();
            receiveDemand(from, message);
        }
    };

    return {
        setConfig: config => {
            if (config === undefined || config.number === configNumber) {
                return;
            }
            configNumber = config.number;
            const amounts = quotaAmounts(config.workspaces, quotaBound);
            isActive = amounts.size > 0;
            keeper.setQuotas(config.number, amounts, heldClock());
            division.setQuotas(config.number, amounts);
        },
        hostAttached: (link, { takesQuotas }) => {
            if (takesQuotas === true) {
                link.send({ k: LinkMessageKind.QuotaGrant, r: [] } satisfies LinkMessage);
            }
        },
        linkClosed: link => {
            const key = keys.get(link);
            if (key !== undefined) {
                keys.delete(link);
                links.delete(key);
                keeper.removeHost(key);
            }
        },
        handlers: peerOf => ({
            [LinkMessageKind.QuotaAsk]: (link, { r }) => asked(link, r),
            [LinkMessageKind.QuotaDemand]: (link, { m }) => demandReceived(peerOf(link), m),
            [LinkMessageKind.QuotaShares]: (link, { m }) => {
                if (peerOf(link) !== undefined) {
                    applyShares(m);
                }
            },
        }),
        gauges: () => ({
            cassiapick_quota_lease_held: keeper.isLeaseHeld() ? 1 : 0,
            cassiapick_quota_shares_version: keeper.version(),
            cassiapick_quota_short_workspaces: keeper.shortCount(),
        }),
        close: () => clearInterval(timer),
    };
};
