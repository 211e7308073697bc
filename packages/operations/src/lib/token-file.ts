/** Reads tokens from files, so that they never appear in the process list as arguments. */
import { createHash, timingSafeEqual } from "node:crypto";
import { readFileSync } from "node:fs";

/** The valid tokens, and the one to send. */
export interface TokenSet {
    /** The token to send: the first line of the file. */
    current: string;
    /** Whether `token` is one of the valid tokens, compared in constant time. */
    accepts(token: string): boolean;
}

const digest = (text: string): Buffer => createHash("sha256").update(text).digest();

/** Creates a set of tokens; several are valid at once while a token is rotated. The first one is sent. */
export const createTokenSet = (tokens: string[]): TokenSet => {
    const digests = tokens.map(digest);

    const accepts = (token: string): boolean => {
        const offeredDigest = digest(token);
        return digests.map(accepted => timingSafeEqual(accepted, offeredDigest)).includes(true);
    };

    return { current: tokens[0]!, accepts };
};

/** Reads a token file with one token per line: the first is sent, all are accepted. Throws when it contains none. */
export const readTokenFile = (path: string): TokenSet => {
    const tokens = readFileSync(path, "utf8").split("\n").map(line => line.trim()).filter(line => line.length > 0);
    if (tokens.length === 0) {
        throw new Error(`The token file '${path}' is empty. Write one token per line into it.`);
    }
    return createTokenSet(tokens);
};
