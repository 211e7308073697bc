/** Reads the body of a request. */
import type { IncomingMessage } from "node:http";

export type BodyResult =
    | { kind: "complete"; body: Buffer; }
    | { kind: "too-long"; }
    /** The connection closed before the end of the body. */
    | { kind: "cut"; };

/** Resolves once the body is complete, longer than `maxBytes`, or cut; never rejects. */
export const readBody = (req: IncomingMessage, maxBytes: number): Promise<BodyResult> =>
    new Promise(resolve => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        req.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes > maxBytes) {
                resolve({ kind: "too-long" });
                return;
            }
            chunks.push(chunk);
        });
        req.on("end", () => resolve({ kind: "complete", body: Buffer.concat(chunks) }));
        req.on("close", () => resolve({ kind: "cut" }));
        req.on("error", () => resolve({ kind: "cut" }));
    });
