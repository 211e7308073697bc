/** A minimal proxy that measures the cost of `http` and undici alone, as the baseline for an entry host. */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Pool } from "undici";

const origin = process.argv[2]!;
const host = process.argv[3]!;
const pool = new Pool(origin, { connections: 256 });

const server = createServer((req, res) => {
    void pool.request({ path: req.url ?? "/", method: "GET", headers: { "x-mark": req.headers["x-mark"] as string } }).then(
        async response => {
            const body = Buffer.from(await response.body.arrayBuffer());
            res.writeHead(response.statusCode, { "content-type": "application/json", "content-length": body.length });
            res.end(body);
        },
    );
});
server.listen(0, host, () => {
    console.log(JSON.stringify({ listening: { host, port: (server.address() as AddressInfo).port } }));
});
process.once("SIGTERM", () => process.exit(0));
