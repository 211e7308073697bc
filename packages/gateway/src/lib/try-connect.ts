/** Opens and closes a connection, to find out whether a server can be reached. */
import { afterArrivedEvents } from "./after-arrived-events.js";
import type { Connect } from "./http-call.js";

/** How a connection that carries no bytes ended. */
export enum ConnectResult {
    Connected = "connected",
    /** Nothing listens at the address. */
    Refused = "refused",
    /** It was not established in time, or failed in another way. */
    Failed = "failed",
}

/** Connects to `address` and calls `onEnd` once, after `timeoutMs` at the latest. */
export const tryConnect = (
    address: string,
    localAddress: string | undefined,
    timeoutMs: number,
    connect: Connect,
    onEnd: (result: ConnectResult) => void,
): void => {
    const socket = connect(address, localAddress);
    let isEnded = false;
    const end = (result: ConnectResult): void => {
        if (isEnded) {
            return;
        }
        isEnded = true;
        clearTimeout(timer);
        socket.destroy();
        onEnd(result);
    };
    const timer = setTimeout(() => afterArrivedEvents(() => end(ConnectResult.Failed)), timeoutMs);
    socket.once("connect", () => end(ConnectResult.Connected));
    socket.on(
        "error",
        (err: NodeJS.ErrnoException) => end(err.code === "ECONNREFUSED" ? ConnectResult.Refused : ConnectResult.Failed),
    );
};
