/** Differences between the workspaces of two configurations. */
import type { Workspace } from "../gateway/gateway-config.js";

/** The part of a difference of configurations that is about workspaces; it has no field if nothing changed. */
export interface WorkspaceDelta {
    /** Workspaces that are new or have changed. */
    changedWorkspaces?: Workspace[];
    /** Names of workspaces that are gone. */
    removedWorkspaces?: string[];
    /** Whether callers need no keys any more. */
    needsNoKeys?: boolean;
}

const isEqual = (a: Workspace | undefined, b: Workspace): boolean => JSON.stringify(a) === JSON.stringify(b);

/** Computes the changes from `base` to `next`; both are `undefined` if callers need no keys. */
export const diffWorkspaces = (
    base: readonly Workspace[] | undefined,
    next: readonly Workspace[] | undefined,
): WorkspaceDelta => {
    if (next === undefined) {
        return base === undefined ? {} : { needsNoKeys: true };
    }
    if (base === undefined) {
        return { changedWorkspaces: [...next] };
    }
    const baseByName = new Map(base.map(workspace => [workspace.name, workspace]));
    const nextNames = new Set(next.map(({ name }) => name));
    const changedWorkspaces = next.filter(workspace => !isEqual(baseByName.get(workspace.name), workspace));
    const removedWorkspaces = base.map(({ name }) => name).filter(name => !nextNames.has(name));
    return {
        ...(changedWorkspaces.length === 0 ? {} : { changedWorkspaces }),
        ...(removedWorkspaces.length === 0 ? {} : { removedWorkspaces }),
    };
};

/**
 * Applies changes to workspaces. A state host of an earlier version knows no workspaces and sends no changes; the workspaces then
 * stay as they are, so that nobody gets in without a key.
 */
export const applyWorkspaceDelta = (
    base: Workspace[] | undefined,
    { changedWorkspaces, removedWorkspaces, needsNoKeys }: WorkspaceDelta,
): Workspace[] | undefined => {
    if (needsNoKeys === true) {
        return undefined;
    }
    if (changedWorkspaces === undefined && removedWorkspaces === undefined) {
        return base;
    }
    const workspaces = new Map((base ?? []).map(workspace => [workspace.name, workspace]));
    for (const name of removedWorkspaces ?? []) {
        workspaces.delete(name);
    }
    for (const workspace of changedWorkspaces ?? []) {
        workspaces.set(workspace.name, workspace);
    }
    return [...workspaces.values()];
};
