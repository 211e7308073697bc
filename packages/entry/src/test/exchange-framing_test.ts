import { expect } from "chai";
import { createServer } from "node:net";
import type { AddressInfo, Server } from "node:net";
import { Agent } from "undici";
import { ExchangeEnd, startExchange } from "../lib/exchange.js";

const chunks = "5\r\nhello\r\n0\r\n\r\n";
const cases: { framing: string; body?: string; isAnswer: boolean; }[] = [
    { framing: "Content-Length: 5", isAnswer: true },
    { framing: "Transfer-Encoding: chunked", body: chunks, isAnswer: true },
    { framing: "Transfer-Encoding: identity, chunked", body: chunks, isAnswer: true },
    { framing: "Transfer-Encoding: gzip, chunked", body: chunks, isAnswer: false },
    { framing: "Transfer-Encoding: identity", isAnswer: false },
    { framing: "Transfer-Encoding:", isAnswer: false },
    { framing: "Transfer-Encoding: gzip", isAnswer: false },
    { framing: "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity", isAnswer: false },
    { framing: "Connection: close", isAnswer: false },
];

/** Guards against a body that may have ended early, or is still encoded, and is passed on as a whole one. */
describe("the framing of an answer to an attempt", () => {
    let server: Server;
    let dispatcher: Agent;
    afterEach(async () => {
        await dispatcher.destroy();
        server.close();
    });

    for (const { framing, body = "hello", isAnswer } of cases) {
        it(`'${framing}' ${isAnswer ? "completes" : "breaks"} the exchange`, async () => {
            server = createServer(socket => {
                socket.on("error", () => undefined);
                socket.once("data", () => socket.end(`HTTP/1.1 200 OK\r\n${framing}\r\n\r\n${body}`));
            });
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            dispatcher = new Agent();
            const { end } = await startExchange({
                dispatcher,
                origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
                path: "/",
                method: "GET",
                headers: {},
                body: Buffer.alloc(0),
                timeoutMs: 5000,
                reset: true,
                bufferBytes: 1000,
                sink: { begin: () => undefined, write: () => true },
                needsBody: () => true,
                acceptHead: () => true,
            }).result;
            expect(end === ExchangeEnd.Complete).to.equal(isAnswer);
            expect(end).to.not.equal(ExchangeEnd.Timeout);
        });
    }
});
