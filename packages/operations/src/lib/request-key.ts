/** Identifies requests by what they hold, so that a request that is repeated under another id can be recognized. */
import { createHash } from "node:crypto";

/**
 * What makes two requests the same. Their ids and other headers may change from one attempt to the next, and so may the address
 * of a caller that moves or sends from several machines; the host name or brand stands for whom a request is sent.
 */
export interface RequestContent {
    method: string;
    /** The Host header or the brand. */
    host: string;
    /** Path with query. */
    target: string;
    body: Uint8Array;
}

/** Of a longer body, as many bytes at each end count, and its length; hashing all of it would block the event loop. */
const hashedEndBytes = 64 * 1024;
/** Length of a key: 96 bits in base64url, so that a caller can't find two requests with the same key. */
const keyChars = 16;

/** Returns the key of a request: 16 characters that all hosts derive from its content in the same way. */
export const requestKeyOf = ({ method, host, target, body }: RequestContent): string => {
    const hash = createHash("sha256").update(JSON.stringify([method, host.toLowerCase(), target, body.length]));
    if (body.length > 2 * hashedEndBytes) {
        hash.update(body.subarray(0, hashedEndBytes)).update(body.subarray(-hashedEndBytes));
    }
    else {
        hash.update(body);
    }
    return hash.digest("base64url").slice(0, keyChars);
};
