/** Finds free ports before a program starts, since its peers need the port in their configuration. */
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

/** Finds a free port on a loopback address. */
export const findFreePort = (host: string): Promise<number> =>
    new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, host, () => {
            const { port } = server.address() as AddressInfo;
            server.close(() => resolve(port));
        });
    });
