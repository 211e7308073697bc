/** Finds the workspace that a key belongs to, by the digest of the key. */
import type { Workspace } from "../gateway/gateway-config.js";

/** The workspaces of one configuration, indexed by the digests of their keys. */
export interface WorkspaceIndex {
    /** Returns the workspace that holds the key with this digest. */
    find(keyDigest: string): Workspace | undefined;
    /** Number of workspaces. */
    size(): number;
}

/** Characters of a digest that select the entries to compare it with; they show nothing about a key. */
const bucketChars = 3;

/** Compares two digests in a time that does not depend on where they differ. */
const areDigestsEqual = (a: string, b: string): boolean => {
    let difference = a.length ^ b.length;
    for (let index = 0; index < a.length; index += 1) {
        difference |= a.charCodeAt(index) ^ b.charCodeAt(index % Math.max(1, b.length));
    }
    return difference === 0;
};

/** Indexes workspaces, so that the time of a look-up does not grow with the number of their keys. */
export const createWorkspaceIndex = (workspaces: readonly Workspace[]): WorkspaceIndex => {
    const buckets = new Map<string, { keyDigest: string; workspace: Workspace; }[]>();
    for (const workspace of workspaces) {
        for (const keyDigest of workspace.keyDigests) {
            const bucketName = keyDigest.slice(0, bucketChars);
            const bucket = buckets.get(bucketName) ?? [];
            bucket.push({ keyDigest, workspace });
            buckets.set(bucketName, bucket);
        }
    }
    return {
        find: keyDigest => {
            const bucket = buckets.get(keyDigest.slice(0, bucketChars)) ?? [];
            // Every entry is compared, so that the time does not show which one matches.
            return bucket.filter(entry => areDigestsEqual(keyDigest, entry.keyDigest))[0]?.workspace;
        },
        size: () => workspaces.length,
    };
};
