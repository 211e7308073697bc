/**
 * Reads bodies in pieces of one byte, as the process whose heap a test limits. The first word is the scenario; the process ends with
 * exit code 0 if all of the scenario has been read, and by a signal if its heap was too small.
 */
import { AttemptOutcome, createByteBudget } from "@cassiapick/core";
import { createServer as createHttpServer } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { createAnswerWriter } from "../lib/answer-writer.js";
import type { HttpCallResult } from "../lib/http-call.js";
import { readBody } from "../lib/read-body.js";
import { createExchangeServer, ok } from "./exchange-server.js";
import { testClock } from "./test-gateway.js";

const connections = 8;
const streams = 4;
const bodyBytes = 150_000;
const piecesAtOnce = 10_000;
const shortPieces = "1\r\nx\r\n".repeat(piecesAtOnce);
const shortPiecesWithExtension = "1;a=b\r\nx\r\n".repeat(piecesAtOnce);
/** Twice what the first part of an answer takes on its connection, in bytes. */
const mostTakenBytes = 3_200_000;
const maxQuietTurns = 10;
const quietTurnMs = 50;
const lastChunk = "0\r\n\r\n";

const fail = (message: string): void => {
    process.stderr.write(`${message}\n`);
    process.exitCode = 1;
};

/** Resolves once all of `count` have arrived, so that all bodies are held at the same time. */
const createMeeting = (count: number): { arrive: () => Promise<void>; } => {
    let arrived = 0;
    let letGo: () => void = () => undefined;
    const all = new Promise<void>(resolve => {
        letGo = resolve;
    });
    return {
        arrive: () => {
            arrived += 1;
            if (arrived === count) {
                letGo();
            }
            return all;
        },
    };
};

/** Sends the pieces of one body, and its end once all bodies have been sent up to there. */
const sendBody = async (socket: Socket, pieces: string, meet: () => Promise<void>): Promise<void> => {
    for (let bytes = 0; bytes < bodyBytes; bytes += piecesAtOnce) {
        await new Promise(resolve => socket.write(pieces, resolve));
    }
    await meet();
    socket.end(lastChunk);
};

const runExchanges = async (pieces: string): Promise<void> => {
    const server = createExchangeServer();
    const meeting = createMeeting(connections);
    const port = await server.listen(socket => {
        socket.write(ok("Transfer-Encoding: chunked"));
        void sendBody(socket, pieces, meeting.arrive);
    });
    const results = await Promise.all(Array.from({ length: connections }, () => server.run(port, 60_000)));
    if (!results.every(({ outcome, answer }) => outcome === AttemptOutcome.Answered && answer?.body.length === bodyBytes)) {
        fail(`unexpected results: ${results.map(({ detail }) => detail).join("; ")}`);
    }
    server.close();
};

/** Sends pieces without end, as fast as they are taken. */
const flood = (socket: Socket): void => {
    const writeOn = (): void => {
        while (!socket.destroyed && socket.write(shortPieces)) {
            // Writes until the connection takes no more.
        }
    };
    socket.on("drain", writeOn);
    writeOn();
};

/** Resolves once each of `sockets` has been read for so long that its first part has been passed on, or is not read any more. */
const whenPassedOn = async (sockets: readonly Socket[]): Promise<void> => {
    const takenBytes = (): number[] => sockets.map(({ bytesWritten, writableLength }) => bytesWritten - writableLength);
    for (let quietTurns = 0, taken: number[] = []; quietTurns < maxQuietTurns;) {
        await new Promise(resolve => setTimeout(resolve, quietTurnMs));
        const now = takenBytes();
        quietTurns = now.every((bytes, index) => bytes === taken[index] || bytes > mostTakenBytes) ? quietTurns + 1 : 0;
        taken = now;
    }
};

const runUnreadStreams = async (deliver: (result: HttpCallResult) => Promise<void>): Promise<void> => {
    const server = createExchangeServer();
    const sockets: Socket[] = [];
    const port = await server.listen(socket => {
        sockets.push(socket);
        socket.write(ok("Transfer-Encoding: chunked"));
        flood(socket);
    });
    const results = await Promise.all(Array.from({ length: streams }, () => server.run(port, 60_000)));
    if (!results.every(({ answer }) => answer?.stream !== undefined)) {
        fail(`unexpected results: ${results.map(({ detail }) => detail).join("; ")}`);
    }
    await Promise.all(results.map(deliver));
    await whenPassedOn(sockets);
    results.forEach(({ answer }) => answer?.stream?.destroy());
    server.close();
};

/** Passes an answer on to a caller that reads nothing. */
const deliverUnread = (servers: Server[], callers: Socket[]) => (result: HttpCallResult): Promise<void> =>
    new Promise(resolve => {
        const writer = createAnswerWriter({ budget: createByteBudget(Infinity), clock: testClock });
        const server = createHttpServer((_req, res) => {
            writer.write(res, result.answer!);
            resolve();
        });
        servers.push(server);
        server.listen(0, "127.0.0.1", () => {
            const caller = connect((server.address() as AddressInfo).port, "127.0.0.1");
            callers.push(caller);
            caller.pause();
            caller.write("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n");
        });
    });

const runRequests = async (): Promise<void> => {
    const meeting = createMeeting(connections);
    let readCount = 0;
    const server = createHttpServer((req, res) => {
        void readBody(req, { maxBytes: 2 * bodyBytes }).then(read => {
            readCount += read.kind === "complete" && read.body.length === bodyBytes ? 1 : 0;
            res.end();
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const port = (server.address() as AddressInfo).port;
    await Promise.all(Array.from({ length: connections }, async () => {
        const caller = connect(port, "127.0.0.1");
        const closed = new Promise(resolve => caller.on("close", resolve));
        caller.resume().write("POST / HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n");
        await sendBody(caller, shortPieces, meeting.arrive);
        await closed;
    }));
    if (readCount !== connections) {
        fail(`${readCount} of ${connections} requests were read`);
    }
    server.close();
};

const scenarios: Readonly<Record<string, () => Promise<void>>> = {
    "answers": () => runExchanges(shortPieces),
    "answers-with-extensions": () => runExchanges(shortPiecesWithExtension),
    "unread-streams": () => runUnreadStreams(() => Promise.resolve()),
    "unread-answers": async () => {
        const servers: Server[] = [];
        const callers: Socket[] = [];
        await runUnreadStreams(deliverUnread(servers, callers));
        callers.forEach(caller => caller.destroy());
        servers.forEach(server => server.close());
    },
    "requests": runRequests,
};

await scenarios[process.argv[2]!]!();
