/** Decodes text from outside without changing it. */
import { isUtf8 } from "node:buffer";

/** Returns the text, or `undefined` if the bytes are no UTF-8; a lenient decoder would replace what it can't read. */
export const decodeUtf8 = (bytes: Buffer): string | undefined => isUtf8(bytes) ? bytes.toString("utf8") : undefined;
