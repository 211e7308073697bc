/** Starts and stops HTTP servers. */
import type { HttpConnections } from "@cassiapick/operations";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";

/** Starts listening and resolves with the port; rejects when the address can't be used. */
export const listen = (server: Server, port: number, host: string): Promise<number> =>
    new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            server.off("error", reject);
            resolve((server.address() as AddressInfo).port);
        });
    });

/** A peer that has not read its answer this long after all requests were finished is cut off, in milliseconds. */
const maxUnreadMs = 10_000;

/** Stops listening, and closes all connections once `finishRequests` has resolved and the answers have been sent. */
export const closeConnections = async (
    connections: HttpConnections,
    finishRequests: () => Promise<void> = () => Promise.resolve(),
): Promise<void> => {
    connections.stopListening();
    connections.closeIdle();
    await finishRequests();
    await connections.whenAnswered(maxUnreadMs);
    connections.closeAll();
};
