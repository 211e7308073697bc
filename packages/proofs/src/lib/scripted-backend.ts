/** A backend server on a real socket that follows a script of faults. */
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

/** What it does with one request. */
export enum ScriptStep {
    Whole = "whole",
    /** Announces the whole length and ends half way. */
    CutBody = "cut-body",
    /** Ends half way without having announced a length. */
    CutUndelimited = "cut-undelimited",
    /** Ends between two chunks. */
    CutChunks = "cut-chunks",
    /** Appends another answer to the first. */
    SurplusAtOnce = "surplus-at-once",
    /** Sends another answer a moment after the first. */
    SurplusLate = "surplus-late",
    /** Repeats the answer before, under its name. */
    RepeatsLast = "repeats-last",
}

/** Options of {@link startScriptedBackend}. */
export interface ScriptedBackendOptions {
    steps: ScriptStep[];
    /** Whether it echoes the name of the attempt. */
    echoes: boolean;
    bodyOf: (mark: string) => string;
}

/** A running backend server. */
export interface ScriptedBackend {
    port: number;
    close(): Promise<void>;
}

interface Asked {
    mark: string;
    attempt: string;
}

const headEnd = "\r\n\r\n";
const headerOf = (head: string, name: string): string => new RegExp(`${name}: ([^\r\n]*)`, "i").exec(head)?.[1] ?? "";

/** Starts a backend server on a port that the system chooses. */
export const startScriptedBackend = async (options: ScriptedBackendOptions): Promise<ScriptedBackend> => {
    const sockets = new Set<Socket>();
    let turn = 0;
    let last: Asked = { mark: "nobody", attempt: "nobody/0" };

    const head = (asked: Asked, fields: string): string =>
        `HTTP/1.1 200 OK\r\n${options.echoes ? `cassiapick-attempt: ${asked.attempt}\r\n` : ""}${fields}\r\n`;

    const whole = (asked: Asked): string => {
        const body = options.bodyOf(asked.mark);
        return `${head(asked, `content-length: ${body.length}\r\n`)}${body}`;
    };

    const half = (asked: Asked): string => options.bodyOf(asked.mark).slice(0, options.bodyOf(asked.mark).length / 2);

    const actors: Readonly<Record<ScriptStep, (socket: Socket, asked: Asked) => void>> = {
        [ScriptStep.Whole]: (socket, asked) => socket.write(whole(asked)),
        [ScriptStep.CutBody]: (socket, asked) => {
            socket.end(`${head(asked, `content-length: ${options.bodyOf(asked.mark).length}\r\n`)}${half(asked)}`);
        },
        [ScriptStep.CutUndelimited]: (socket, asked) => socket.end(`${head(asked, "")}${half(asked)}`),
        [ScriptStep.CutChunks]: (socket, asked) => {
            const part = half(asked);
            socket.end(`${head(asked, "transfer-encoding: chunked\r\n")}${part.length.toString(16)}\r\n${part}\r\n`);
        },
        [ScriptStep.SurplusAtOnce]: (socket, asked) => socket.write(whole(asked) + whole(last)),
        [ScriptStep.SurplusLate]: (socket, asked) => {
            socket.write(whole(asked));
            setImmediate(() => socket.write(whole(asked)));
        },
        [ScriptStep.RepeatsLast]: (socket, asked) => socket.write(whole(options.echoes ? last : asked)),
    };

    const server = createServer({ noDelay: true }, socket => {
        sockets.add(socket);
        let received = "";
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", chunk => {
            received += chunk.toString("latin1");
            for (let end = received.indexOf(headEnd); end >= 0; end = received.indexOf(headEnd)) {
                const text = received.slice(0, end);
                received = received.slice(end + headEnd.length);
                const asked = { mark: headerOf(text, "x-mark"), attempt: headerOf(text, "cassiapick-attempt") };
                actors[options.steps[turn % options.steps.length]!](socket, asked);
                last = asked;
                turn += 1;
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
