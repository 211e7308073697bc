/** An HTTP client that keeps its connection and trusts whatever comes next on it. */
import { connect } from "node:net";
import type { Socket } from "node:net";

/** A client of one backend server. */
export interface NaiveClient {
    /** Sends a GET and resolves with the body that it takes for the answer; `undefined` when the connection ends first. */
    get(path: string, headers: Record<string, string>): Promise<string | undefined>;
    close(): void;
}

const headEnd = "\r\n\r\n";

/** Creates a client without a connection. */
export const createNaiveClient = (host: string, port: number): NaiveClient => {
    let socket: Socket | undefined;
    let received = "";
    let wake: () => void = () => undefined;

    const open = (): Socket => {
        received = "";
        const opened = connect(port, host);
        opened.on("data", chunk => {
            received += chunk.toString("latin1");
            wake();
        });
        opened.on("error", () => undefined);
        opened.on("close", () => {
            if (socket === opened) {
                socket = undefined;
            }
            wake();
        });
        return opened;
    };

    const next = (): Promise<void> =>
        new Promise(resolve => {
            wake = resolve;
        });

    /** Takes an answer out of what was received; a connection that ended counts as the end of the body. */
    const takeAnswer = (): string | undefined => {
        const at = received.indexOf(headEnd);
        if (at < 0) {
            return undefined;
        }
        const length = /content-length: (\d+)/i.exec(received.slice(0, at))?.[1];
        const start = at + headEnd.length;
        const end = length === undefined ? received.length : start + Number(length);
        if (socket !== undefined && (length === undefined || received.length < end)) {
            return undefined;
        }
        const body = received.slice(start, end);
        received = received.slice(end);
        return body;
    };

    const isOpen = (): boolean => socket !== undefined;

    const get = async (path: string, headers: Record<string, string>): Promise<string | undefined> => {
        socket ??= open();
        const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
        socket.write(`GET ${path} HTTP/1.1\r\nhost: naive\r\n${lines}\r\n`);
        for (;;) {
            const body = takeAnswer();
            if (body !== undefined || !isOpen()) {
                return body;
            }
            await next();
        }
    };

    return { get, close: () => socket?.destroy() };
};
