import { expect } from "chai";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { Agent } from "undici";
import { ExchangeEnd, startExchange } from "../lib/exchange.js";

const pieces = 100_000;
const bufferBytes = 1000;
const shortPieces = "1\r\nx\r\n".repeat(pieces);

const cases: { name: string; end: (socket: Socket) => void; expected: ExchangeEnd; drains: boolean; }[] = [
    {
        name: "a whole answer",
        end: socket => socket.end(`${shortPieces}0\r\n\r\n`),
        expected: ExchangeEnd.Complete,
        drains: true,
    },
    {
        name: "an answer that breaks off",
        end: socket => socket.end(shortPieces),
        expected: ExchangeEnd.Cut,
        drains: true,
    },
    {
        name: "an answer whose caller reads nothing",
        end: socket => socket.write(shortPieces),
        expected: ExchangeEnd.Timeout,
        drains: false,
    },
];

// Guards against a caller that reads nothing and leaves each piece of a long answer as a write of its own in the host's memory.
describe("a long answer in pieces of one byte", () => {
    let server: Server;
    const dispatcher = new Agent();
    afterEach(() => {
        server.close();
    });
    after(() => dispatcher.destroy());

    for (const { name, end, expected, drains } of cases) {
        it(`is passed on in few parts: ${name}`, async () => {
            server = createServer(socket => {
                socket.on("error", () => undefined);
                socket.once("data", () => {
                    socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    end(socket);
                });
            });
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const parts: Buffer[] = [];
            const result = await startExchange({
                dispatcher,
                origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
                path: "/",
                method: "GET",
                headers: {},
                body: Buffer.alloc(0),
                timeoutMs: drains ? 20_000 : 300,
                reset: true,
                bufferBytes,
                sink: {
                    begin: () => undefined,
                    write: (part, onDrain) => {
                        parts.push(part);
                        if (drains) {
                            setImmediate(onDrain);
                        }
                        return false;
                    },
                },
                needsBody: () => true,
                acceptHead: () => true,
            }).result;
            const passedOn = Buffer.concat(parts).length;
            expect([result.end, result.streamed, result.body.length]).to.deep.equal([expected, true, 0]);
            expect(parts.length).to.be.at.most(pieces / 100);
            expect(passedOn).to.be.at.most(drains ? pieces : pieces / 2);
            expect(passedOn === pieces).to.equal(drains);
        });
    }
});
