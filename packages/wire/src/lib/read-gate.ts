/** Stops and continues what a connection delivers to the HTTP library. */
import type { Socket } from "node:net";

/** Why a gate is closed. */
export enum GateReason {
    /** The reader of the body has not taken what has arrived. */
    Unread = "unread",
    /** The body costs more than it may. */
    Pace = "pace",
}

/** The gate of one connection. It is open while there is no reason to close it. */
export interface ReadGate {
    /** Delivers no more bytes than those that have been read already. */
    close(reason: GateReason): void;
    /** Delivers bytes again if there is no other reason. */
    open(reason: GateReason): void;
}

/** Creates a gate that calls `pause` when it closes and `resume` when it opens again. */
export const createGate = (pause: () => void, resume: () => void): ReadGate => {
    const reasons = new Set<GateReason>();
    return {
        close: reason => {
            if (reasons.size === 0) {
                pause();
            }
            reasons.add(reason);
        },
        open: reason => {
            if (reasons.delete(reason) && reasons.size === 0) {
                resume();
            }
        },
    };
};

/** Creates the gate of `socket`. */
export const createReadGate = (socket: Socket): ReadGate =>
    createGate(() => {
        // The HTTP library resumes its connection after each piece of a body.
        socket.resume = () => socket;
        socket.pause();
    }, () => {
        Reflect.deleteProperty(socket, "resume");
        socket.resume();
    });
