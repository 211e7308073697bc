/** A caller that keeps one connection open for many requests, one after another. */
import { connect } from "node:net";
import type { Socket } from "node:net";
import type { Fleet, Machine } from "./fleet.js";
import { record, sleep } from "./record.js";

/** A request on a connection that had served another one, whose connection ended without a complete answer. */
export interface LostRequest {
    attempt: string;
    machine: string;
}

export interface KeptCaller {
    /** Stops after the request in progress; resolves then. */
    stop(): Promise<void>;
}

export interface KeptCallerOptions {
    name: string;
    hostname: string;
    path: string;
    deadlineMs: number;
    onLost: (lost: LostRequest) => void;
}

const betweenMs = 50;
const reconnectMs = 200;

/** How a request ended: with a complete answer, by the end of the connection, or by the caller, whose deadline had passed. */
type End = "answered" | "closed" | "given up";

/** Sends one request; resolves when it has ended. */
const exchange = (socket: Socket, text: string, deadlineMs: number): Promise<End> =>
    new Promise(resolve => {
        let received = "";
        const end = (how: End): void => {
            clearTimeout(timer);
            socket.off("data", take);
            socket.off("close", closed);
            resolve(how);
        };
        const timer = setTimeout(() => {
            end("given up");
            socket.destroy();
        }, deadlineMs);
        const closed = (): void => end("closed");
        const take = (chunk: Buffer): void => {
            received += chunk.toString("latin1");
            const headEnd = received.indexOf("\r\n\r\n");
            const length = /content-length: (\d+)\r\n/iu.exec(received)?.[1];
            if (headEnd >= 0 && length !== undefined && received.length >= headEnd + 4 + Number(length)) {
                end("answered");
            }
        };
        socket.on("data", take);
        socket.on("close", closed);
        socket.write(text);
    });

/** Starts a caller of `entry`. */
export const startKeptCaller = (fleet: Fleet, entry: Machine, options: KeptCallerOptions): KeptCaller => {
    const { name, hostname, path, deadlineMs, onLost } = options;
    let isStopped = false;
    let sent = 0;

    const useConnection = async (): Promise<void> => {
        const socket = connect({ host: entry.address, port: fleet.ports.front });
        // The close event follows.
        socket.on("error", () => undefined);
        let answered = 0;
        while (!isStopped && !socket.destroyed) {
            sent += 1;
            const attempt = `${name}-${sent}`;
            const fields = [`Host: ${hostname}`, `Attempt-Id: ${attempt}`, `Request-Deadline-Ms: ${deadlineMs}`, "", ""];
            record(`${attempt} sent to ${entry.name}`);
            const end = await exchange(socket, [`GET ${path} HTTP/1.1`, ...fields].join("\r\n"), deadlineMs);
            record(`${attempt} ${end}`);
            if (end === "closed" && answered > 0) {
                onLost({ attempt, machine: entry.name });
            }
            answered += end === "answered" ? 1 : 0;
            await sleep(betweenMs);
        }
        socket.destroy();
    };

    const run = async (): Promise<void> => {
        while (!isStopped) {
            await useConnection();
            await sleep(reconnectMs);
        }
    };
    const running = run();
    return {
        stop: async () => {
            isStopped = true;
            await running;
        },
    };
};
