/** Ends a request whose body is not read. */
import type { IncomingMessage, ServerResponse } from "node:http";

/** The rest of a body that is not used is read for this long, so that its caller receives the response, in milliseconds. */
const unreadBodyMs = 1000;

/**
 * Discards the rest of a request whose whole response has been written to `res`, then ends the response and its connection. Ending
 * it sooner would close the connection: a caller that is still sending would get an error in place of the response.
 */
export const endUnread = (req: IncomingMessage, res: ServerResponse): void => {
    res.flushHeaders();
    if (req.readableEnded) {
        res.end();
        return;
    }
    req.once("end", () => res.end()).resume();
    const timer = setTimeout(() => req.socket.destroy(), unreadBodyMs).unref();
    res.once("close", () => clearTimeout(timer));
};
