/** An HTTP client that reuses its connection and accepts the next bytes on it as the answer, without a check. */
import { connect } from "node:net";
import type { Socket } from "node:net";

/** A client of one backend server. */
export interface NaiveClient {
    /** Sends a GET and resolves with the body of the presumed answer; `undefined` when the connection closes before its head is complete. */
    get(path: string, headers: Record<string, string>): Promise<string | undefined>;
    close(): void;
}

const headTerminator = "\r\n\r\n";

/** Creates a client without a connection. */
export const createNaiveClient = (host: string, port: number): NaiveClient => {
    let socket: Socket | undefined;
    let received = "";
    let notifyChange: () => void = () => undefined;

    const openConnection = (): Socket => {
        received = "";
        const newSocket = connect(port, host);
        newSocket.on("data", chunk => {
            received += chunk.toString("latin1");
            notifyChange();
        });
        newSocket.on("error", () => undefined);
        newSocket.on("close", () => {
            if (socket === newSocket) {
                socket = undefined;
            }
            notifyChange();
        });
        return newSocket;
    };

    const waitForChange = (): Promise<void> =>
        new Promise(resolve => {
            notifyChange = resolve;
        });

    /** Removes an answer from the received bytes; a closed connection counts as the end of the body. */
    const takeAnswer = (): string | undefined => {
        const headLength = received.indexOf(headTerminator);
        if (headLength < 0) {
            return undefined;
        }
        const contentLength = /content-length: (\d+)/i.exec(received.slice(0, headLength))?.[1];
        const bodyStart = headLength + headTerminator.length;
        const bodyEnd = contentLength === undefined ? received.length : bodyStart + Number(contentLength);
        if (socket !== undefined && (contentLength === undefined || received.length < bodyEnd)) {
            return undefined;
        }
        const body = received.slice(bodyStart, bodyEnd);
        received = received.slice(bodyEnd);
        return body;
    };

    const isOpen = (): boolean => socket !== undefined;

    const get = async (path: string, headers: Record<string, string>): Promise<string | undefined> => {
        socket ??= openConnection();
        const headerLines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
        socket.write(`GET ${path} HTTP/1.1\r\nhost: naive\r\n${headerLines}\r\n`);
        for (;;) {
            const body = takeAnswer();
            if (body !== undefined || !isOpen()) {
                return body;
            }
            await waitForChange();
        }
    };

    return { get, close: () => socket?.destroy() };
};
