/** Versions as operators type them. */
import type { Version } from "@cassiapick/core";

const pattern = /^(\d{1,9})\.(\d{1,15})$/;

/** Reads "epoch.index"; `undefined` when the text is something else. */
export const parseVersion = (text: string): Version | undefined => {
    const match = pattern.exec(text);
    return match === null ? undefined : { epoch: Number(match[1]), index: Number(match[2]) };
};
