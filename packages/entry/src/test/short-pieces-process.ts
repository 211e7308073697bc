/**
 * Reads answers in pieces of one byte, as the process whose heap a test limits. Ends with exit code 0 if all have been read, and by
 * a signal if its heap was too small.
 */
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { Agent } from "undici";
import { ExchangeEnd, startExchange } from "../lib/exchange.js";

const exchanges = 12;
const bodyBytes = 200_000;
const piecesAtOnce = 10_000;
const shortPieces = "1;a=b\r\nx\r\n".repeat(piecesAtOnce);
const waiting: Socket[] = [];

/** Sends one body, and the ends of all once all have been sent up to there. */
const answer = async (socket: Socket): Promise<void> => {
    socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (let bytes = 0; bytes < bodyBytes; bytes += piecesAtOnce) {
        await new Promise(resolve => socket.write(shortPieces, resolve));
    }
    waiting.push(socket);
    if (waiting.length === exchanges) {
        waiting.forEach(other => other.end("0\r\n\r\n"));
    }
};

const server = createServer(socket => {
    socket.on("error", () => undefined);
    socket.once("data", () => void answer(socket));
});
await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
const dispatcher = new Agent();
const results = await Promise.all(Array.from({ length: exchanges }, () =>
    startExchange({
        dispatcher,
        origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
        path: "/",
        method: "GET",
        headers: {},
        body: Buffer.alloc(0),
        timeoutMs: 60_000,
        reset: true,
        bufferBytes: 2 * bodyBytes,
        sink: { begin: () => undefined, write: () => true },
        needsBody: () => true,
        acceptHead: () => true,
    }).result));
if (!results.every(({ end, body }) => end === ExchangeEnd.Complete && body.length === bodyBytes)) {
    process.stderr.write(`unexpected results: ${results.map(({ end, body }) => `${end} ${body.length}`).join("; ")}\n`);
    process.exitCode = 1;
}
await dispatcher.destroy();
server.close();
