import { AttemptOutcome } from "@cassiapick/core";
import type { PieceBudget } from "@cassiapick/core";
import { expect } from "chai";
import { createServer } from "node:http";
import type { Server } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { startExchange } from "../lib/exchange.js";
import { readBody } from "../lib/read-body.js";
import type { BodyResult } from "../lib/read-body.js";
import { createExchangeServer, ok, requestId } from "./exchange-server.js";
import { testHeaderNames as headerNames } from "./test-gateway.js";

const pieces = 100_000;
const shortPieces = "1\r\nx\r\n".repeat(pieces);
const lastChunk = "0\r\n\r\n";
/** Pieces that one read of a connection and what follows it at once bring, at most; a read has up to 64 KiB. */
const mostPiecesAtOnce = 2 * 64 * 1024 / 6;
const longWaitMs = 60_000;

/** A budget that asks for `waitMs` each time, and counts the pieces that have been taken. */
const createTestBudget = (waitMs: number): PieceBudget & { taken: () => number; asked: () => number; } => {
    let taken = 0;
    let asked = 0;
    return {
        take: count => {
            taken += count;
            asked += 1;
            return waitMs;
        },
        taken: () => taken,
        asked: () => asked,
    };
};

// Guards against bodies in chunks of one byte that take all processor time of the host, while requests to sound services wait.
describe("a body in pieces of one byte", () => {
    const server = createExchangeServer();
    let httpServer: Server | undefined;
    afterEach(() => {
        server.close();
        httpServer?.close();
        httpServer?.closeAllConnections();
        httpServer = undefined;
    });

    const exchange = (port: number, pieceBudget: PieceBudget, timeoutMs: number) =>
        startExchange({
            address: `127.0.0.1:${port}`,
            method: "GET",
            target: "/",
            headers: ["Host", "a.example", "X-Request", requestId],
            body: Buffer.alloc(0),
            requestId,
        }, { headerNames, connectTimeoutMs: 5000, timeoutMs, pieceBudget, maxBufferedBytes: 2 * pieces }).result;

    const sendAnswer = (socket: Socket): void => {
        socket.end(`${ok("Transfer-Encoding: chunked")}${shortPieces}${lastChunk}`);
    };

    it("of an answer is read no further than the host's budget allows", async () => {
        const budget = createTestBudget(longWaitMs);
        const result = await exchange(await server.listen(sendAnswer), budget, 300);
        expect(result.outcome).to.equal(AttemptOutcome.TimedOut);
        expect(budget.asked()).to.be.at.least(1);
        expect(budget.taken()).to.be.at.most(mostPiecesAtOnce);
    });

    it("of an answer arrives whole, however often it has to wait", async () => {
        const budget = createTestBudget(1);
        const { outcome, answer } = await exchange(await server.listen(sendAnswer), budget, 20_000);
        expect([outcome, answer?.body.length]).to.deep.equal([AttemptOutcome.Answered, pieces]);
        expect(budget.asked()).to.be.at.least(pieces / mostPiecesAtOnce);
    });

    /** Sends a request whose body is read with `pieceBudget`; resolves when the body has been read, or after `withinMs`. */
    const sendRequest = async (pieceBudget: PieceBudget, withinMs: number, requests = 1): Promise<BodyResult[]> => {
        const results: BodyResult[] = [];
        httpServer = createServer((req, res) => {
            void readBody(req, { maxBytes: 2 * pieces, pieceBudget }).then(result => {
                results.push(result);
                res.end();
            });
        });
        await new Promise<void>(resolve => httpServer!.listen(0, "127.0.0.1", resolve));
        const caller = connect((httpServer.address() as AddressInfo).port, "127.0.0.1");
        caller.on("error", () => undefined).resume();
        const head = "POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n";
        caller.write(`${head}${shortPieces}${lastChunk}`.repeat(requests));
        const until = performance.now() + withinMs;
        while (results.length < requests && performance.now() < until) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        caller.destroy();
        return results;
    };

    it("of a request is read no further than the host's budget allows", async () => {
        const budget = createTestBudget(longWaitMs);
        expect(await sendRequest(budget, 300)).to.deep.equal([]);
        expect(budget.asked()).to.be.at.least(1);
        expect(budget.taken()).to.be.at.most(mostPiecesAtOnce);
    });

    it("of a request arrives whole, also of the next one on its connection", async () => {
        const budget = createTestBudget(1);
        const results = await sendRequest(budget, 20_000, 2);
        expect(results.map(result => result.kind === "complete" ? result.body.length : result.kind)).to.deep.equal([
            pieces,
            pieces,
        ]);
        expect(budget.asked()).to.be.at.least(2 * pieces / mostPiecesAtOnce);
    });
});
