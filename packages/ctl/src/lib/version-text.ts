/** Parses versions given on the command line. */
import type { Version } from "@cassiapick/core";

const versionPattern = /^(\d{1,9})\.(\d{1,15})$/;

/** Parses "epoch.index"; returns `undefined` for any other text. */
export const parseVersion = (text: string): Version | undefined => {
    const match = versionPattern.exec(text);
    return match === null ? undefined : { epoch: Number(match[1]), index: Number(match[2]) };
};
