import { Repeatability } from "@cassiapick/core";
import { expect } from "chai";
import { createServer, Socket } from "node:net";
import type { AddressInfo, Server } from "node:net";
import { ReplyKind } from "../lib/caller-request.js";
import { connectTcp } from "../lib/http-call.js";
import type { Connect } from "../lib/http-call.js";
import { runTestRequest } from "./test-gateway.js";

const timeoutMs = 120;

// Guards against a reply that says a request may have run although no byte of it was sent to a server.
describe("a request whose deadline passes", () => {
    let server: Server;
    let address: string;
    before(done => {
        // Reads without answering, so that the end of the connection is noticed and the server can close.
        server = createServer(socket => socket.on("error", () => undefined).resume());
        server.listen(0, "127.0.0.1", () => {
            address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
            done();
        });
    });
    after(() => {
        server.close();
    });

    const cases: { name: string; connectServer: Connect; kind: ReplyKind; }[] = [
        {
            name: "is refused while its connection is not established",
            connectServer: () => new Socket(),
            kind: ReplyKind.Refused,
        },
        { name: "times out once it was sent", connectServer: connectTcp, kind: ReplyKind.TimedOut },
    ];
    for (const { name, connectServer, kind } of cases) {
        it(name, async () => {
            const run = runTestRequest({
                addresses: [address],
                repeatability: Repeatability.AtMostOnce,
                timeoutMs,
                connectServer,
            });
            expect((await run.reply).kind).to.equal(kind);
        });
    }
});
