/** Starts and stops HTTP servers. */
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

/** Stops listening, closes idle connections, and resolves when all connections are closed. */
export const closeServer = (server: Server): Promise<void> =>
    new Promise(resolve => {
        server.close(() => resolve());
        server.closeIdleConnections();
    });
