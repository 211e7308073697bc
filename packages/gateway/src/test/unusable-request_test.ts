import { AttemptOutcome } from "@cassiapick/core";
import { expect } from "chai";
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { connectTcp, startHttpCall } from "../lib/http-call.js";
import type { HttpCall } from "../lib/http-call.js";
import { ConnectResult, tryConnect } from "../lib/try-connect.js";

/** Guards against an address or a header that ends more than the request which uses it. */
describe("a call that can't be sent", () => {
    let server: Server;
    let address: string;
    let arrivals = 0;
    before(done => {
        server = createServer((_req, res) => {
            arrivals += 1;
            res.end();
        });
        server.listen(0, "127.0.0.1", () => {
            address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
            done();
        });
    });
    after(() => {
        server.close();
    });

    const cases: { name: string; change: Partial<HttpCall>; }[] = [
        { name: "to a port out of range", change: { address: "127.0.0.1:80800" } },
        { name: "to an address without a port", change: { address: "127.0.0.1" } },
        { name: "with a header outside Latin-1", change: { headers: ["X-Workspace", "\u0141\u00f3d\u017a"] } },
        { name: "with a header that holds a line break", change: { headers: ["X-Workspace", "a\r\nB: c"] } },
        { name: "with a target that holds a space", change: { target: "/a b" } },
    ];
    for (const { name, change } of cases) {
        it(`${name} ends as not sent`, async () => {
            const call = startHttpCall(
                { address, method: "GET", target: "/", headers: [], body: () => Buffer.alloc(0), ...change },
                {
                    connectTimeoutMs: 1000,
                    timeoutMs: 1000,
                    readHead: res => ({ kind: "answer", status: res.statusCode ?? 0, headers: res.rawHeaders }),
                },
            );
            expect((await call.result).outcome).to.equal(AttemptOutcome.NotSent);
            expect([call.mayHaveBeenSent(), arrivals]).to.deep.equal([false, 0]);
        });
    }

    it("fails a trial connection to a port out of range", done => {
        tryConnect("127.0.0.1:80800", undefined, 1000, connectTcp, result => {
            expect(result).to.equal(ConnectResult.Failed);
            done();
        });
    });
});
