import { expect } from "chai";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { Agent } from "undici";
import { ExchangeEnd, startExchange } from "../lib/exchange.js";
import type { AnswerHead } from "../lib/exchange.js";

const testLimitMs = 20_000;
const timeoutMs = 800;
const bufferBytes = 256 * 1024;
/** What the kernel holds for a connection, and what is read before an answer is given up, in bytes. */
const mostAcceptedBytes = 16 * 1024 * 1024;
const filler = "a".repeat(8192);
const chunk = `2000\r\n${filler}\r\n`;
const chunked = "Transfer-Encoding: chunked\r\n\r\n";

interface Case {
    name: string;
    start: string;
    /** Sent again and again until the connection is closed. */
    repeated: string;
    end: ExchangeEnd;
    isStreamed?: boolean;
    /** Whether the parser drops what it reads, so that the bytes accepted say nothing about memory. */
    isDropped?: boolean;
}

const cases: Case[] = [
    { name: "bytes that are no answer", start: "", repeated: filler, end: ExchangeEnd.Cut },
    { name: "a status line", start: "HTTP/1.1 200 ", repeated: filler, end: ExchangeEnd.Timeout, isDropped: true },
    { name: "headers", start: "HTTP/1.1 200 OK\r\n", repeated: `x-more: ${filler}\r\n`, end: ExchangeEnd.Cut },
    { name: "one header", start: "HTTP/1.1 200 OK\r\nx-more: ", repeated: filler, end: ExchangeEnd.Cut },
    { name: "a success", start: `HTTP/1.1 200 OK\r\n${chunked}`, repeated: chunk, end: ExchangeEnd.Timeout, isStreamed: true },
    {
        name: "a failure in chunks",
        start: `HTTP/1.1 500 Error\r\n${chunked}`,
        repeated: chunk,
        end: ExchangeEnd.Timeout,
        isStreamed: true,
    },
    {
        name: "a failure with a length",
        start: "HTTP/1.1 502 Error\r\nContent-Length: 99999999999\r\n\r\n",
        repeated: filler,
        end: ExchangeEnd.Timeout,
        isStreamed: true,
    },
    {
        name: "a refusal",
        start: `HTTP/1.1 503 Busy\r\nx-not-run: 1\r\n${chunked}`,
        repeated: chunk,
        end: ExchangeEnd.Oversized,
    },
];

// Guards against a server that fails without end and so fills the memory of the host, which ends the requests of other callers.
describe("an answer without end to an attempt", function () {
    this.timeout(testLimitMs);
    let server: Server | undefined;
    let dispatcher: Agent | undefined;
    afterEach(async () => {
        server?.close();
        await dispatcher?.destroy();
    });

    /** Sends `start` and then `repeated`, as fast as it is read, until the connection closes; resolves with the bytes accepted. */
    const flood = (start: string, repeated: string): { port: Promise<number>; closed: Promise<number>; } => {
        let resolveClosed: (acceptedBytes: number) => void = () => undefined;
        const closed = new Promise<number>(resolve => {
            resolveClosed = resolve;
        });
        const send = (socket: Socket): void => {
            while (!socket.destroyed && socket.write(repeated)) {
                // The next piece is sent once this one has been accepted.
            }
        };
        const listening = createServer(socket => {
            socket.on("error", () => undefined);
            socket.on("close", () => resolveClosed(socket.bytesWritten - socket.writableLength));
            socket.once("data", () => {
                socket.write(start);
                socket.on("drain", () => send(socket));
                send(socket);
            });
        });
        server = listening;
        const port = new Promise<number>(resolve => {
            listening.listen(0, "127.0.0.1", () => resolve((listening.address() as AddressInfo).port));
        });
        return { port, closed };
    };

    for (const { name, start, repeated, end, isStreamed, isDropped } of cases) {
        it(`of ${name} ends as '${end}', holds a bounded part, and closes its connection`, async () => {
            const { port, closed } = flood(start, repeated);
            dispatcher = new Agent();
            let begun: AnswerHead | undefined;
            const result = await startExchange({
                dispatcher,
                origin: `http://127.0.0.1:${await port}`,
                path: "/",
                method: "GET",
                headers: {},
                body: Buffer.alloc(0),
                timeoutMs,
                reset: true,
                bufferBytes,
                // Never drains, as a caller that does not read.
                sink: {
                    begin: head => {
                        begun = head;
                    },
                    write: () => false,
                },
                needsBody: head => head.headers["x-not-run"] === undefined,
                acceptHead: () => true,
            }).result;
            expect(result.end).to.equal(end);
            expect(begun !== undefined).to.equal(isStreamed === true);
            expect(result.body.length).to.be.at.most(bufferBytes);
            expect(await closed).to.be.at.most(isDropped === true ? Infinity : mostAcceptedBytes);
        });
    }
});
