import { expect } from "chai";
import { createLinkServer, encodeFrame, openLink } from "../index.js";
import type { Link, LinkServer } from "../index.js";

const host = "127.0.0.1";
const connectTimeoutMs = 5000;

/** The messages received on a link, and the reason for its end. */
interface LinkResult {
    messages: unknown[];
    closed: Promise<string>;
}

/** Opens a link, sends `firstMessage`, and collects the messages received until the link closes. */
const openAndSend = (port: number, firstMessage: unknown, receiveTimeoutMs = 0): LinkResult => {
    const messages: unknown[] = [];
    const closed = new Promise<string>(resolve => {
        openLink({ host, port, connectTimeoutMs, receiveTimeoutMs }, {
            onOpen: link => link.send(firstMessage),
            onMessage: (_link, message) => {
                messages.push(message);
            },
            onClose: (_link, reason) => resolve(reason),
        });
    });
    return { messages, closed };
};

describe("links", () => {
    let server: LinkServer | undefined;
    afterEach(() => server?.close());

    const echoAndClose = (link: Link, message: unknown): void => {
        link.send({ got: message });
        link.close();
    };

    // Guards against accepted connections whose messages are not handled when the server has no 'onOpen' handler.
    for (const onOpen of [undefined, (): void => undefined]) {
        it(`carries messages both ways ${onOpen === undefined ? "without" : "with"} an 'onOpen' handler`, async () => {
            server = await createLinkServer({ host, port: 0, receiveTimeoutMs: 0 }, {
                onOpen,
                onMessage: echoAndClose,
                onClose: () => undefined,
            });
            const result = openAndSend(server.port, { hello: 1 });
            await result.closed;
            expect(result.messages).to.deep.equal([{ got: { hello: 1 } }]);
        });
    }

    // Guards against peers that have not said who they are and let the host hold as much as the longest frame for each connection.
    const firstMessages: [name: string, first: unknown, isAccepted: boolean][] = [
        ["takes a short first message", { hello: "a".repeat(1000) }, true],
        ["refuses a long first message", { hello: Buffer.alloc(20_000) }, false],
    ];
    for (const [name, first, isAccepted] of firstMessages) {
        it(`${name} on an accepted connection`, async () => {
            server = await createLinkServer({ host, port: 0, receiveTimeoutMs: 0 }, {
                onMessage: echoAndClose,
                onClose: () => undefined,
            });
            const result = openAndSend(server.port, first);
            await result.closed;
            expect(result.messages.length).to.equal(isAccepted ? 1 : 0);
        });
    }

    // Guards against messages that are lost because the handler of an earlier one in the same chunk throws.
    it("handles the messages after one whose handler throws, and throws on", async () => {
        const received: unknown[] = [];
        let isDone: () => void;
        const done = new Promise<void>(resolve => {
            isDone = resolve;
        });
        server = await createLinkServer({ host, port: 0, receiveTimeoutMs: 0 }, {
            onMessage: (_link, message) => {
                received.push(message);
                if (message === 1) {
                    throw new Error("the handler failed");
                }
            },
            onClose: () => isDone(),
        });
        const faults: string[] = [];
        const otherListeners = process.listeners("uncaughtException");
        process.removeAllListeners("uncaughtException");
        process.on("uncaughtException", err => faults.push(err.message));
        try {
            const link = openLink({ host, port: server.port, connectTimeoutMs, receiveTimeoutMs: 0 }, {
                onOpen: opened => opened.sendFrame(Buffer.concat([1, 2, 3].map(value => encodeFrame(value)))),
                onMessage: () => undefined,
                onClose: () => undefined,
            });
            while (received.length < 3 && faults.length === 0) {
                await new Promise(resolve => setImmediate(resolve));
            }
            link.close();
            await done;
        }
        finally {
            process.removeAllListeners("uncaughtException");
            otherListeners.forEach(listener => process.on("uncaughtException", listener));
        }
        expect(received).to.deep.equal([1, 2, 3]);
        expect(faults).to.deep.equal(["the handler failed"]);
    });

    it("closes a connection on which nothing is received", async () => {
        server = await createLinkServer({ host, port: 0, receiveTimeoutMs: 0 }, {
            onMessage: () => undefined,
            onClose: () => undefined,
        });
        expect(await openAndSend(server.port, {}, 30).closed).to.equal("Nothing arrived for 30 ms.");
    });

    // The socket's own timeout is reset by writes, so it does not detect a silent peer while this side sends.
    it("closes a connection on which nothing is received while it sends", async () => {
        server = await createLinkServer({ host, port: 0, receiveTimeoutMs: 0 }, {
            onMessage: () => undefined,
            onClose: () => undefined,
        });
        const { port } = server;
        const reason = await new Promise<string>(resolve => {
            const link = openLink({ host, port, connectTimeoutMs, receiveTimeoutMs: 60 }, {
                onMessage: () => undefined,
                onClose: (_link, closeReason) => {
                    clearInterval(writer);
                    resolve(closeReason);
                },
            });
            const writer = setInterval(() => link.send({}), 10);
        });
        expect(reason).to.equal("Nothing arrived for 60 ms.");
    });

    it("reports a refused connection as the close reason", async () => {
        server = await createLinkServer({ host, port: 0, receiveTimeoutMs: 0 }, {
            onMessage: () => undefined,
            onClose: () => undefined,
        });
        const { port } = server;
        await server.close();
        expect(await openAndSend(port, {}).closed).to.contain("ECONNREFUSED");
    });
});
