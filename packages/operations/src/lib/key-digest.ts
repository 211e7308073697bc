/** Digests of callers' keys, so that a key itself is neither kept, sent between hosts, nor logged. */
import { createHash } from "node:crypto";

/** Length of a digest: 96 bits in base64url, so that nobody can find another key with the same digest. */
const digestChars = 16;

/** Returns the digest of a key, given by its bytes or as text, which stands for its bytes in UTF-8. */
export const keyDigestOf = (key: Uint8Array | string): string =>
    createHash("sha256").update("cassiapick-key:").update(key).digest("base64url").slice(0, digestChars);
