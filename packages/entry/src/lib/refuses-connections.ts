/** Tells a backend server that has ended from one that has only reset a connection. */
import { connect } from "node:net";

/** Timeout of the connection, in milliseconds: several round trips between regions. */
const timeoutMs = 150;

/** Connects without sending a byte; resolves with whether the connection was refused, and never rejects. */
export const refusesConnections = (host: string, port: number): Promise<boolean> =>
    new Promise(resolve => {
        const socket = connect({ host, port });
        const end = (isRefused: boolean): void => {
            clearTimeout(timer);
            socket.destroy();
            resolve(isRefused);
        };
        const timer = setTimeout(() => end(false), timeoutMs);
        socket.once("connect", () => end(false));
        socket.once("error", (err: NodeJS.ErrnoException) => end(err.code === "ECONNREFUSED"));
    });
