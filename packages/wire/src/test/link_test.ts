import { expect } from "chai";
import { createLinkServer, openLink } from "../index.js";
import type { Link, LinkServer } from "../index.js";

const host = "127.0.0.1";
const connectTimeoutMs = 5000;

interface Seen {
    messages: unknown[];
    closed: Promise<string>;
}

/** Opens a link, sends `first`, and collects what comes back until it closes. */
const visit = (port: number, first: unknown, silenceMs = 0): Seen => {
    const messages: unknown[] = [];
    const closed = new Promise<string>(resolve => {
        openLink({ host, port, connectTimeoutMs, silenceMs }, {
            opened: link => link.send(first),
            message: (_link, message) => {
                messages.push(message);
            },
            closed: (_link, reason) => resolve(reason),
        });
    });
    return { messages, closed };
};

describe("links", () => {
    let server: LinkServer | undefined;
    afterEach(() => server?.close());

    const answer = (link: Link, message: unknown): void => {
        link.send({ got: message });
        link.close();
    };

    // Accepted connections were not served at all when the server's owner gave no 'opened' handler.
    for (const opened of [undefined, (): void => undefined]) {
        it(`carries messages both ways ${opened === undefined ? "without" : "with"} an 'opened' handler`, async () => {
            server = await createLinkServer({ host, port: 0, silenceMs: 0 }, {
                opened,
                message: answer,
                closed: () => undefined,
            });
            const seen = visit(server.port, { hello: 1 });
            await seen.closed;
            expect(seen.messages).to.deep.equal([{ got: { hello: 1 } }]);
        });
    }

    it("closes a connection on which nothing arrives", async () => {
        server = await createLinkServer({ host, port: 0, silenceMs: 0 }, { message: () => undefined, closed: () => undefined });
        expect(await visit(server.port, {}, 30).closed).to.equal("Nothing arrived for 30 ms.");
    });

    // The socket's own time-out counts writes, so a silent peer was never noticed while this side had something to say.
    it("closes a silent connection also while it writes", async () => {
        server = await createLinkServer({ host, port: 0, silenceMs: 0 }, { message: () => undefined, closed: () => undefined });
        const { port } = server;
        const reason = await new Promise<string>(resolve => {
            const link = openLink({ host, port, connectTimeoutMs, silenceMs: 60 }, {
                message: () => undefined,
                closed: (_link, why) => {
                    clearInterval(writer);
                    resolve(why);
                },
            });
            const writer = setInterval(() => link.send({}), 10);
        });
        expect(reason).to.equal("Nothing arrived for 60 ms.");
    });

    it("says that nobody listens", async () => {
        server = await createLinkServer({ host, port: 0, silenceMs: 0 }, { message: () => undefined, closed: () => undefined });
        const { port } = server;
        await server.close();
        expect(await visit(port, {}).closed).to.contain("ECONNREFUSED");
    });
});
