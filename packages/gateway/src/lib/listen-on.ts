/** Starts an HTTP server on an address. */
import type { Server } from "node:http";

/** Connections that wait to be accepted. */
const backlog = 1024;

/** Resolves with the port once the server listens; rejects when the address can't be used. Port 0 lets the system choose. */
export const listenOn = (server: Server, host: string, port: number): Promise<number> =>
    new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ port, host, backlog }, () => {
            server.off("error", reject);
            const address = server.address();
            resolve(typeof address === "object" && address !== null ? address.port : port);
        });
    });
