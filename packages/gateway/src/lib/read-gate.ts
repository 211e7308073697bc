/** Stops and continues what a connection delivers to the HTTP library. */
import type { Socket } from "node:net";

/** The gate of one connection. It is open at first. */
export interface ReadGate {
    /** Delivers no more bytes than those that have been read already. */
    close(): void;
    /** Delivers bytes again. */
    open(): void;
}

/** Creates the gate of `socket`. */
export const createReadGate = (socket: Socket): ReadGate => {
    let isClosed = false;
    return {
        close: () => {
            if (!isClosed) {
                isClosed = true;
                // The HTTP library resumes its connection after each piece of a body.
                socket.resume = () => socket;
                socket.pause();
            }
        },
        open: () => {
            if (isClosed) {
                isClosed = false;
                Reflect.deleteProperty(socket, "resume");
                socket.resume();
            }
        },
    };
};
