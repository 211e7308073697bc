import { expect } from "chai";
import { createServer, get } from "node:http";
import type { AddressInfo } from "node:net";
import { createCallerAnswerWriter } from "../lib/caller-answer-writer.js";
import type { PendingCaller } from "../lib/caller-answer-writer.js";

const host = "127.0.0.1";

// Guards against a repeated request that gets no answer, because a header of the stored one has the name of an inherited member.
describe("a stored answer", () => {
    for (const name of ["constructor", "tostring", "__proto__", "set-cookie"]) {
        it(`is sent again with its headers '${name}'`, async () => {
            const writer = createCallerAnswerWriter({ hostId: "e-1", isDraining: () => false });
            const server = createServer((_req, res) => {
                const caller = { info: { method: "GET", requestId: "r-1" }, res } as unknown as PendingCaller;
                try {
                    writer.sendReplay(caller, { status: 200, headers: [[name, "a"], [name, "b"]], body: Buffer.from("ok") });
                }
                catch {
                    res.destroy();
                }
            });
            await new Promise<void>(resolve => server.listen(0, host, resolve));
            try {
                const rawHeaders = await new Promise<string[]>((resolve, reject) => {
                    get({ host, port: (server.address() as AddressInfo).port, agent: false }, res => {
                        res.resume().on("end", () => resolve(res.rawHeaders));
                    }).on("error", reject);
                });
                expect(rawHeaders.flatMap((value, index) => index % 2 === 1 && rawHeaders[index - 1] === name ? [value] : []))
                    .to.deep.equal(["a", "b"]);
            }
            finally {
                server.close();
            }
        });
    }
});
