import { expect } from "chai";
import type { Server } from "node:http";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import type { PendingCaller } from "../lib/caller-answer-writer.js";
import { createCallerServer } from "../lib/caller-server.js";

const maxBodyBytes = 100;

const cases = [
    {
        name: "accepts a request",
        raw: "GET /k/1 HTTP/1.1\r\nhost: b.example\r\nconnection: close\r\n\r\n",
        status: 200,
        requestCount: 1,
    },
    {
        name: "refuses two different Content-Length headers",
        raw: "POST /k HTTP/1.1\r\nhost: b\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
        status: 400,
        requestCount: 0,
    },
    {
        name: "refuses Content-Length together with chunked encoding",
        raw: "POST /k HTTP/1.1\r\nhost: b\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        status: 400,
        requestCount: 0,
    },
    {
        name: "refuses a body over the limit",
        raw: `POST /k HTTP/1.1\r\nhost: b\r\ncontent-length: 200\r\n\r\n${"x".repeat(200)}`,
        status: 413,
        requestCount: 0,
    },
    {
        name: "refuses an empty Idempotency-Key",
        raw: "POST /k HTTP/1.1\r\nhost: b\r\nidempotency-key:\r\ncontent-length: 0\r\n\r\n",
        status: 400,
        requestCount: 0,
    },
    {
        name: "refuses a header section over the size limit",
        raw: `GET /k HTTP/1.1\r\nhost: b\r\nx: ${"x".repeat(40_000)}\r\n\r\n`,
        status: 431,
        requestCount: 0,
    },
];

describe("createCallerServer", () => {
    let server: Server;
    let received: PendingCaller[];

    beforeEach(async () => {
        received = [];
        server = createCallerServer({
            maxBodyBytes,
            hopToken: "hop",
            now: () => 1000,
            onAddresses: () => ({}),
            onRequest: caller => {
                received.push(caller);
                caller.res.end("ok");
            },
            onDisconnect: () => undefined,
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    });

    afterEach(done => {
        server.close(() => done());
        server.closeAllConnections();
    });

    const sendRaw = (raw: string): Promise<string> =>
        new Promise(resolve => {
            const socket = connect((server.address() as AddressInfo).port, "127.0.0.1", () => socket.write(raw));
            let response = "";
            socket.on("data", chunk => {
                response += chunk.toString("latin1");
            });
            socket.on("error", () => undefined);
            socket.on("close", () => resolve(response));
        });

    for (const { name, raw, status, requestCount } of cases) {
        it(name, async () => {
            expect(await sendRaw(raw)).to.match(new RegExp(`^HTTP/1.1 ${status} `));
            expect(received).to.have.length(requestCount);
        });
    }

    it("doesn't pass on a request whose body is truncated", async () => {
        const port = (server.address() as AddressInfo).port;
        await new Promise<void>(resolve => {
            const socket = connect(port, "127.0.0.1", () => {
                socket.write("POST /k HTTP/1.1\r\nhost: b\r\ncontent-length: 50\r\n\r\nhalf", () => socket.destroy());
            });
            socket.on("close", () => resolve());
        });
        await sendRaw("GET /k/2 HTTP/1.1\r\nhost: b\r\nconnection: close\r\n\r\n");
        expect(received.map(caller => caller.path)).to.deep.equal(["/k/2"]);
    });

    it("accepts the list of visited hosts only with the hop token", async () => {
        for (const token of ["hop", "forged"]) {
            await sendRaw(
                `GET /k HTTP/1.1\r\nhost: b\r\ncassiapick-hop-token: ${token}\r\ncassiapick-visited: a,b\r\nconnection: close\r\n\r\n`,
            );
        }
        expect(received.map(caller => caller.info.visited)).to.deep.equal([["a", "b"], []]);
    });
});
