/** Ends a request whose body is not read. */
import type { IncomingMessage, ServerResponse } from "node:http";

/** The rest of a body that is not used is read for this long, so that its caller receives the response, in milliseconds. */
const unreadBodyMs = 1000;

/** Discards the rest of a request after its response, then closes the connection; a close at once could lose the response. */
export const endUnread = (req: IncomingMessage, res: ServerResponse): void => {
    const { socket } = req;
    req.resume();
    res.once("finish", () => setTimeout(() => socket.destroy(), unreadBodyMs).unref());
};
