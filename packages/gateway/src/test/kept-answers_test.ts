import { Repeatability } from "@cassiapick/core";
import { expect } from "chai";
import { createServer, get } from "node:http";
import { createServer as createTcpServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { Readable } from "node:stream";
import { ReplyKind } from "../lib/caller-request.js";
import { createTestAnswerWriter, runTestRequest } from "./test-gateway.js";

const host = "127.0.0.1";
/** Longer than what is read before an answer is passed on. */
const body = Buffer.alloc(600_000, "x");
/** All that arrives is read. */
const shortBytes = 290_000;
/** Reading stops before the end, so that the break is seen only once somebody reads on. */
const longBytes = 500_000;
const breakOffMs = 30;
const workMs = 150;
/** Long after the end of each test, so that only what a test looks at ends a connection. */
const timeoutMs = 120_000;

const headOf = (status: number, length: number): string =>
    `HTTP/1.1 ${status} Status\r\nx-request: r1\r\nx-signature: s\r\nContent-Length: ${length}\r\n\r\n`;

type Behaviour = (socket: Socket) => void;
const longFailure: Behaviour = socket => void socket.write(Buffer.concat([Buffer.from(headOf(500, body.length)), body]));
const brokenFailure = (bytes: number): Behaviour => socket => {
    socket.write(Buffer.concat([Buffer.from(headOf(500, body.length)), body.subarray(0, bytes)]));
    setTimeout(() => socket.resetAndDestroy(), breakOffMs);
};
const reset: Behaviour = socket => void setTimeout(() => socket.resetAndDestroy(), workMs);
const success: Behaviour = socket => void setTimeout(() => socket.write(`${headOf(200, 2)}ok`), workMs);

const until = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
};

// Guards against callers without an end of their answer, because a failure that was kept for them has broken off in the meantime.
describe("a long failure that is kept while its request is sent again", function () {
    this.timeout(20_000);
    let servers: Server[];
    let behaviours: Behaviour[];
    let sockets: Socket[];
    beforeEach(async () => {
        sockets = [];
        servers = [1, 2].map(() =>
            createTcpServer(socket => {
                socket.on("error", () => undefined);
                socket.once("data", () => {
                    sockets.push(socket);
                    behaviours.shift()?.(socket);
                });
            })
        );
        await Promise.all(servers.map(server => new Promise<void>(resolve => server.listen(0, host, resolve))));
    });
    afterEach(() => {
        sockets.forEach(socket => socket.destroy());
        servers.forEach(server => server.close());
    });

    const run = (first: Behaviour, second: Behaviour): ReturnType<typeof runTestRequest>["reply"] => {
        behaviours = [first, second];
        const addresses = servers.map(server => `${host}:${(server.address() as AddressInfo).port}`);
        return runTestRequest({ addresses, repeatability: Repeatability.Repeatable, timeoutMs }).reply;
    };

    it("is not delivered once it has broken off", async () => {
        expect((await run(brokenFailure(shortBytes), reset)).kind).to.equal(ReplyKind.Failed);
    });

    it("breaks off where it has broken off, if that was not seen before", async () => {
        const reply = await run(brokenFailure(longBytes), reset);
        expect(reply.kind).to.equal(ReplyKind.Answer);
        if (reply.kind === ReplyKind.Answer) {
            const stream = reply.answer.stream!;
            await new Promise(resolve => stream.on("error", () => undefined).once("close", resolve).resume());
            expect(reply.answer.isComplete?.()).to.equal(false);
        }
    });

    it("is delivered if it is whole", async () => {
        const reply = await run(longFailure, reset);
        expect(reply.kind).to.equal(ReplyKind.Answer);
        if (reply.kind === ReplyKind.Answer) {
            const { status, body: start, stream, isComplete } = reply.answer;
            const rest = await stream!.toArray() as Buffer[];
            expect([status, isComplete?.()]).to.deep.equal([500, true]);
            expect(Buffer.concat([start, ...rest]).equals(body)).to.equal(true);
        }
    });

    const failures: [name: string, first: Behaviour][] = [
        ["whole", longFailure],
        ["broken off", brokenFailure(shortBytes)],
        ["broken off unseen", brokenFailure(longBytes)],
    ];
    for (const [name, first] of failures) {
        it(`leaves no connection open after a success, ${name}`, async () => {
            const reply = await run(first, success);
            expect(reply.kind === ReplyKind.Answer && reply.answer.body.toString()).to.equal("ok");
            await until(() => sockets[0]!.destroyed || sockets[0]!.readableEnded);
        });
    }
});

// Guards against responses that are neither ended nor broken off.
describe("an answer whose rest has broken off before it is written", () => {
    for (const err of [undefined, new Error("reset")]) {
        it(`breaks the response off ${err === undefined ? "after an end" : "after an error"}`, async () => {
            const stream = new Readable({ read: () => undefined });
            stream.on("error", () => undefined).destroy(err);
            await new Promise(resolve => stream.once("close", resolve));
            const server = createServer((_req, res) => {
                res.writeHead(500);
                createTestAnswerWriter().write(res, { status: 500, headers: [], body: Buffer.from("a"), stream });
            });
            await new Promise<void>(resolve => server.listen(0, host, resolve));
            try {
                const isWhole = await new Promise<boolean>(resolve => {
                    get({ host, port: (server.address() as AddressInfo).port, agent: false }, res => {
                        res.on("error", () => undefined).resume().once("close", () => resolve(res.complete));
                    }).on("error", () => resolve(false));
                });
                expect(isWhole).to.equal(false);
            }
            finally {
                server.close();
            }
        });
    }
});
