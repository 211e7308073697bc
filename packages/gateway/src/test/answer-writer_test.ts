/** Pattern: many callers ask for large answers and read slowly or not at all, so that the host would hold all of their bytes. */
import { createByteBudget } from "@cassiapick/core";
import { expect } from "chai";
import { createServer, get } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { createAnswerMemory } from "../lib/answer-memory.js";
import { createAnswerWriter } from "../lib/answer-writer.js";
import { ReplyKind } from "../lib/caller-request.js";
import type { CallerRequest } from "../lib/caller-request.js";
import { testClock } from "./test-gateway.js";

const megabyte = 1_000_000;
const body = Buffer.alloc(540_000, "a");
/** Longer than what the kernel holds for a connection. */
const unreadBody = Buffer.alloc(16 * megabyte, "b");

const readAll = (port: number, path: string): Promise<Buffer> =>
    new Promise((resolve, reject) => {
        get({ host: "127.0.0.1", port, path, agent: false }, (res: IncomingMessage) => {
            const chunks: Buffer[] = [];
            res.on("data", (chunk: Buffer) => chunks.push(chunk));
            res.on("end", () => resolve(Buffer.concat(chunks)));
            res.on("error", reject);
        }).on("error", reject);
    });

describe("the writer of answers", () => {
    let server: Server;
    let port = 0;
    const budget = createByteBudget(50 * megabyte);
    const sockets: Socket[] = [];
    let lastResponse: ServerResponse | undefined;

    beforeEach(async () => {
        const writer = createAnswerWriter({ budget, linkBytesPerMs: 10_000, clock: testClock });
        server = createServer((req, res) => {
            const bodies: Record<string, Buffer> = { "/large": body, "/unread": unreadBody };
            const isLarge = req.url !== "/small";
            const sized = /^\/bytes\/(\d+)$/u.exec(req.url ?? "")?.[1];
            const sizedBody = sized === undefined ? undefined : unreadBody.subarray(0, Number(sized));
            const answer = { status: 200, headers: [], body: sizedBody ?? bodies[req.url ?? ""] ?? Buffer.from("small") };
            lastResponse = res;
            res.writeHead(200, ["Content-Length", String(answer.body.length)]);
            writer.write(res, answer, isLarge ? 1 : undefined);
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        port = (server.address() as AddressInfo).port;
    });

    afterEach(() => {
        sockets.splice(0).forEach(socket => socket.destroy());
        server.closeAllConnections();
        server.close();
    });

    const openUnread = async (count: number): Promise<void> => {
        for (let index = 0; index < count; index += 1) {
            const socket = connect(port, "127.0.0.1");
            sockets.push(socket);
            socket.pause();
            socket.write("GET /unread HTTP/1.1\r\nHost: a.example\r\n\r\n");
        }
        while (budget.held() < count * unreadBody.length) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    };

    it("delivers whole bodies, large and small", async () => {
        const bodies = await Promise.all([...Array<string>(8).fill("/large"), "/small"].map(path => readAll(port, path)));
        expect(bodies.slice(0, 8).every(received => received.equals(body))).to.equal(true);
        expect(bodies[8]!.toString()).to.equal("small");
    });

    it("does not end an answer before the kernel has its last part, as a stopping server closes connections with ended ones", async () => {
        // What the kernel holds for a connection differs; one of these answers has only its last part left to write.
        for (let bytes = 2 * megabyte; bytes < 5 * megabyte; bytes += 60_000) {
            const socket = connect(port, "127.0.0.1");
            sockets.push(socket);
            socket.pause();
            lastResponse = undefined;
            socket.write(`GET /bytes/${bytes} HTTP/1.1\r\nHost: a.example\r\n\r\n`);
            const response = await new Promise<ServerResponse>(resolve => {
                const check = (): void => {
                    if (lastResponse === undefined) {
                        setTimeout(check, 5);
                    }
                    else {
                        resolve(lastResponse);
                    }
                };
                check();
            });
            await new Promise(resolve => setTimeout(resolve, 20));
            expect(response.writableEnded && !response.writableFinished, `ended early: ${bytes} bytes`).to.equal(false);
            socket.destroy();
        }
    });

    it("serves others while twenty callers read nothing, and counts what it holds for them until they are gone", async () => {
        await openUnread(20);
        expect((await readAll(port, "/small")).toString()).to.equal("small");
        expect((await readAll(port, "/large")).equals(body)).to.equal(true);
        sockets.splice(0).forEach(socket => socket.destroy());
        while (budget.held() > 0) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    });
});

describe("the memory for answers", () => {
    const cases: { name: string; memoryBytes?: number; heldBytes: number; hasLargeAnswers?: boolean; isRefused: boolean; }[] = [
        {
            name: "a large answer while little is held",
            memoryBytes: 250 * megabyte,
            heldBytes: megabyte,
            hasLargeAnswers: true,
            isRefused: false,
        },
        {
            name: "a large answer while much is held",
            memoryBytes: 250 * megabyte,
            heldBytes: 60 * megabyte,
            hasLargeAnswers: true,
            isRefused: true,
        },
        { name: "another answer while much is held", memoryBytes: 250 * megabyte, heldBytes: 60 * megabyte, isRefused: false },
        { name: "a large answer without a bound", heldBytes: 600 * megabyte, hasLargeAnswers: true, isRefused: false },
    ];
    for (const { name, memoryBytes, heldBytes, hasLargeAnswers, isRefused } of cases) {
        it(`${isRefused ? "refuses before it is sent" : "allows"} ${name}`, async () => {
            const memory = createAnswerMemory(memoryBytes, 500);
            memory.budget.add(heldBytes);
            const refusal = memory.refusal({ route: { hasLargeAnswers } } as CallerRequest);
            expect(refusal !== undefined).to.equal(isRefused);
            const reply = await refusal?.reply;
            expect(reply?.kind).to.equal(isRefused ? ReplyKind.Refused : undefined);
        });
    }
});
