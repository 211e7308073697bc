/**
 * What hosts tell each other about quotas. Asks and grants pass between an entry host and its state host, mostly within an
 * availability zone; demand and shares pass between state hosts, so their rows name a workspace by its place among those with
 * a quota in a configuration.
 */
import type { ConfigNumber } from "../gateway/config-number.js";

/** An entry host's ask for tokens of a workspace; at most one is open. */
export type QuotaAskRow = [
    workspace: string,
    /** Tokens that the host holds. */
    held: number,
    /** Requests that wait for a token. */
    waiting: number,
    /** Tokens that the host would like to hold besides. */
    spare: number,
    /** Requests that arrived since the last ask. */
    arrived: number,
    /** Tokens that come back. */
    returned: number,
];

/** The answer to a {@link QuotaAskRow}; requests that waited and got no token are refused for `retryAfterMs`. */
export type QuotaGrantRow = [workspace: string, granted: number, retryAfterMs: number];

/** What a state host tells the leader; also renews the lease of its shares. */
export interface QuotaDemand {
    /** The leader's term. */
    t: number;
    /** Number of the message. */
    s: number;
    /** Number of the last message in which the sender stated all its shares. */
    e: number;
    /** The last version of its shares that the sender applies. */
    a: number;
    /** Number of the configuration that the rows refer to. */
    c: ConfigNumber;
    /** All shares of the sender, if it states them. */
    h?: [workspace: number, share: number][];
    /** Changed demands: requests a second, and the tokens that the sender would borrow while it is short. */
    r: [workspace: number, demandPerS: number, wantedTokens: number][];
}

/** What the leader tells a state host. */
export interface QuotaShares {
    t: number;
    /** Number of the message that this answers; 0 if it answers none, and then renews no lease. */
    s: number;
    e: number;
    /** Version of the receiver's shares after these rows. */
    v: number;
    /** Number of versions that the rows cover, if it isn't 1. */
    d?: number;
    c: ConfigNumber;
    /** Changed shares, of 1; the last field is 1 while all state hosts together want more than the quota. */
    r: [workspace: number, share: number, isSaturated: number][];
    /** Tokens that the leader lends; a message that carries some is not sent again. */
    l?: [workspace: number, tokens: number][];
    /** Set if the receiver has to state its shares. */
    x?: true;
}
