/** Ports that the system chooses before a program starts, since peers must know them first. */
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

/** Finds a port that is free on a loopback address. */
export const findFreePort = (host: string): Promise<number> =>
    new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, host, () => {
            const { port } = server.address() as AddressInfo;
            server.close(() => resolve(port));
        });
    });
