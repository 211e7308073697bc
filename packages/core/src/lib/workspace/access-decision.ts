/** Decides whether a request may be served, by its key and by what this host knows of the newest configuration. */
import type { Workspace } from "../gateway/gateway-config.js";
import type { WorkspaceIndex } from "./workspace-index.js";

export enum Access {
    Granted = "granted",
    /** The newest configuration that may be in force has no such key. */
    Denied = "denied",
    /** A configuration that this host does not have yet may decide otherwise. */
    Unsure = "unsure",
}

/** Why a request is not served. */
export enum DenialReason {
    NoKey = "no-key",
    UnknownKey = "unknown-key",
    /** No majority of the state hosts has confirmed the view of this host yet, or lately. */
    OldView = "old-view",
}

/** The request as it concerns access. */
export interface AccessQuery {
    /** The workspaces in force; `undefined` if callers need no keys. */
    workspaces: WorkspaceIndex | undefined;
    isPublicRoute: boolean;
    /** Digest of the caller's key; `undefined` without a key. */
    keyDigest: string | undefined;
}

/** How well this host knows the newest configuration. */
export interface ViewState {
    /** Age of the host's view, in milliseconds; `Infinity` if it was never confirmed. */
    ageMs: number;
    /** Time since the request arrived, in milliseconds. */
    requestAgeMs: number;
    /** Whether a later decision is still of use to the caller. */
    mayWait: boolean;
    /** Whether the host was paused a moment ago, and has not been sent yet what it has missed. */
    isCatchingUp?: boolean;
}

/** Time limits of access decisions. */
export interface AccessLimits {
    /** Time within which a published change is in force, in milliseconds; an older view can't prove that a key is missing. */
    applyWithinMs: number;
    /** Time within which a withdrawn key must stop, in milliseconds. */
    revokeWithinMs: number;
    /** Whether a host with an older view refuses requests under keys, as they may have been withdrawn. */
    refusesOldViews: boolean;
}

export type AccessDecision =
    /** `workspace` is set if the caller presented one of its keys. */
    | { access: Access.Granted; workspace?: Workspace; }
    | { access: Access.Denied; reason: DenialReason; }
    | { access: Access.Unsure; reason: DenialReason; };

/**
 * Decides about one request.
 *
 * A missing key is proved only by a view that was confirmed after the request arrived, so the decision waits for one. When it can't wait,
 * a view that is recent enough for published changes decides. The order of versions decides what is in force, never a clock; ages
 * only decide whether this host may answer at all.
 */
export const decideAccess = (query: AccessQuery, view: ViewState, limits: AccessLimits): AccessDecision => {
    const { workspaces, keyDigest } = query;
    const workspace = keyDigest === undefined ? undefined : workspaces?.find(keyDigest);
    if (workspaces === undefined || query.isPublicRoute) {
        return { access: Access.Granted, workspace };
    }
    if (workspace !== undefined) {
        // A host that has just started may have been given a configuration that is older than the one it had before.
        const isTooOld = !Number.isFinite(view.ageMs) || view.isCatchingUp === true
            || (limits.refusesOldViews && view.ageMs > limits.revokeWithinMs);
        return isTooOld ? { access: Access.Unsure, reason: DenialReason.OldView } : { access: Access.Granted, workspace };
    }
    const reason = keyDigest === undefined ? DenialReason.NoKey : DenialReason.UnknownKey;
    if (view.ageMs <= view.requestAgeMs || (!view.mayWait && view.ageMs <= limits.applyWithinMs)) {
        return { access: Access.Denied, reason };
    }
    return { access: Access.Unsure, reason };
};
