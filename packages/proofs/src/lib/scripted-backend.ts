/** A backend server on a real socket that answers requests with a given sequence of faults. */
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

/** What the server does with one request. */
export enum ScriptStep {
    Whole = "whole",
    /** Declares the full content length and closes the connection after half of the body. */
    CutBody = "cut-body",
    /** Declares no length and closes the connection after half of the body. */
    CutUndelimited = "cut-undelimited",
    /** Closes the connection after the first chunk of a chunked body, without the final chunk. */
    CutChunks = "cut-chunks",
    /** Sends the answer with the answer to the previous request appended to it. */
    SurplusAtOnce = "surplus-at-once",
    /** Sends the answer, and once more in the next turn of the event loop. */
    SurplusLate = "surplus-late",
    /** Sends the answer to the previous request with its attempt id; a server that echoes no ids sends the right answer. */
    RepeatsPrevious = "repeats-last",
}

/** Options of {@link startScriptedBackend}. */
export interface ScriptedBackendOptions {
    /** One step a request; repeated from the first when all are used. */
    steps: ScriptStep[];
    /** Whether answers carry the attempt id of their request. */
    echoesAttemptId: boolean;
    /** Returns the body of the answer to a request, by the `x-mark` header that identifies the request. */
    bodyOf: (mark: string) => string;
}

/** A running backend server. */
export interface ScriptedBackend {
    port: number;
    close(): Promise<void>;
}

interface ScriptedRequest {
    mark: string;
    attemptId: string;
}

const headEnd = "\r\n\r\n";
const headerOf = (requestHead: string, name: string): string =>
    new RegExp(`${name}: ([^\r\n]*)`, "i").exec(requestHead)?.[1] ?? "";

/** Starts a backend server on a port that the operating system assigns. */
export const startScriptedBackend = async (options: ScriptedBackendOptions): Promise<ScriptedBackend> => {
    const sockets = new Set<Socket>();
    let requestIndex = 0;
    let previousRequest: ScriptedRequest = { mark: "nobody", attemptId: "nobody/0" };

    const answerHead = (request: ScriptedRequest, fields: string): string =>
        `HTTP/1.1 200 OK\r\n${options.echoesAttemptId ? `cassiapick-attempt: ${request.attemptId}\r\n` : ""}${fields}\r\n`;

    const wholeAnswer = (request: ScriptedRequest): string => {
        const body = options.bodyOf(request.mark);
        return `${answerHead(request, `content-length: ${body.length}\r\n`)}${body}`;
    };

    const halfBody = (request: ScriptedRequest): string =>
        options.bodyOf(request.mark).slice(0, options.bodyOf(request.mark).length / 2);

    const stepHandlers: Readonly<Record<ScriptStep, (socket: Socket, request: ScriptedRequest) => void>> = {
        [ScriptStep.Whole]: (socket, request) => socket.write(wholeAnswer(request)),
        [ScriptStep.CutBody]: (socket, request) => {
            socket.end(
                `${answerHead(request, `content-length: ${options.bodyOf(request.mark).length}\r\n`)}${halfBody(request)}`,
            );
        },
        [ScriptStep.CutUndelimited]: (socket, request) => socket.end(`${answerHead(request, "")}${halfBody(request)}`),
        [ScriptStep.CutChunks]: (socket, request) => {
            const halfText = halfBody(request);
            socket.end(
                `${answerHead(request, "transfer-encoding: chunked\r\n")}${halfText.length.toString(16)}\r\n${halfText}\r\n`,
            );
        },
        [ScriptStep.SurplusAtOnce]: (socket, request) => socket.write(wholeAnswer(request) + wholeAnswer(previousRequest)),
        [ScriptStep.SurplusLate]: (socket, request) => {
            socket.write(wholeAnswer(request));
            setImmediate(() => socket.write(wholeAnswer(request)));
        },
        [ScriptStep.RepeatsPrevious]: (socket, request) =>
            socket.write(wholeAnswer(options.echoesAttemptId ? previousRequest : request)),
    };

    const server = createServer({ noDelay: true }, socket => {
        sockets.add(socket);
        let received = "";
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", chunk => {
            received += chunk.toString("latin1");
            for (let headLength = received.indexOf(headEnd); headLength >= 0; headLength = received.indexOf(headEnd)) {
                const head = received.slice(0, headLength);
                received = received.slice(headLength + headEnd.length);
                const request = { mark: headerOf(head, "x-mark"), attemptId: headerOf(head, "cassiapick-attempt") };
                stepHandlers[options.steps[requestIndex % options.steps.length]!](socket, request);
                previousRequest = request;
                requestIndex += 1;
            }
        });
    });
    const port = await new Promise<number>(resolve => {
        server.listen(0, "127.0.0.1", () => resolve((server.address() as AddressInfo).port));
    });

    const close = (): Promise<void> =>
        new Promise(resolve => {
            server.close(() => resolve());
            for (const socket of sockets) {
                socket.destroy();
            }
        });

    return { port, close };
};
