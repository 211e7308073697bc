/** Tokens are read from files, so that they never stand in the list of processes. */
import { createHash, timingSafeEqual } from "node:crypto";
import { readFileSync } from "node:fs";

/** Checks and presents the tokens of one file. */
export interface TokenFile {
    /** The token to present: the first line of the file. */
    current: string;
    /** Whether `token` is one of the file's lines, compared in constant time. */
    accepts(token: string): boolean;
}

const digest = (text: string): Buffer => createHash("sha256").update(text).digest();

/** Creates the tokens of the given lines; several are valid at once while a token is rotated. */
export const createTokens = (tokens: string[]): TokenFile => {
    const digests = tokens.map(digest);

    const accepts = (token: string): boolean => {
        const offered = digest(token);
        return digests.map(known => timingSafeEqual(known, offered)).includes(true);
    };

    return { current: tokens[0]!, accepts };
};

/** Reads a token file: one token a line, the first is presented, all are accepted. Throws when it holds none. */
export const readTokenFile = (path: string): TokenFile => {
    const tokens = readFileSync(path, "utf8").split("\n").map(line => line.trim()).filter(line => line.length > 0);
    if (tokens.length === 0) {
        throw new Error(`The token file '${path}' is empty. Write one token a line into it.`);
    }
    return createTokens(tokens);
};
