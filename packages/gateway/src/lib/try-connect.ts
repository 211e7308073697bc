/** Opens and closes a connection, to find out whether a server can be reached. */
import { afterArrivedEvents } from "./after-arrived-events.js";
import type { Connect } from "./http-call.js";

/** Calls `onEnd` once, with whether the connection to `address` was established within `timeoutMs`. It carries no bytes. */
export const tryConnect = (
    address: string,
    localAddress: string | undefined,
    timeoutMs: number,
    connect: Connect,
    onEnd: (isConnected: boolean) => void,
): void => {
    const socket = connect(address, localAddress);
    let isEnded = false;
    const end = (isConnected: boolean): void => {
        if (isEnded) {
            return;
        }
        isEnded = true;
        clearTimeout(timer);
        socket.destroy();
        onEnd(isConnected);
    };
    const timer = setTimeout(() => afterArrivedEvents(() => end(false)), timeoutMs);
    socket.once("connect", () => end(true));
    socket.on("error", () => end(false));
};
