import { fromWireValue, LinkMessageKind, PeerMessageKind } from "@cassiapick/core";
import type { LinkMessage, PeerMessage } from "@cassiapick/core";
import { createLinkServer } from "@cassiapick/wire";
import type { Link, LinkServer } from "@cassiapick/wire";
import { expect } from "chai";
import { createPeerLinks } from "../lib/peer-links.js";
import type { PeerLinks } from "../lib/peer-links.js";

const host = "127.0.0.1";
const heartbeat: PeerMessage = {
    kind: PeerMessageKind.Append,
    term: 1,
    previousIndex: 1,
    previousTerm: 1,
    entries: [],
    commitIndex: 1,
    quorumAgeMs: 1,
    round: 1,
};

describe("links between state hosts", () => {
    let server: LinkServer | undefined;
    let peerLinks: PeerLinks | undefined;
    afterEach(async () => {
        peerLinks?.close();
        await server?.close();
    });

    const { CompactConsensus, Consensus, PeerHello } = LinkMessageKind;
    const cases: [name: string, ack: object, expected: LinkMessageKind[]][] = [
        ["short forms to a peer that says that it understands them", { k: LinkMessageKind.Ack, e: true, c: true }, [
            PeerHello,
            Consensus,
            CompactConsensus,
        ]],
        ["whole messages to a peer of an earlier version", { k: LinkMessageKind.Ack, e: true }, [
            PeerHello,
            Consensus,
            Consensus,
        ]],
    ];
    for (const [name, ack, expected] of cases) {
        it(`carry ${name}`, async () => {
            const received: LinkMessageKind[] = [];
            const sentBytes: number[] = [];
            await new Promise<void>((resolve, reject) => {
                const onMessage = (link: Link, message: unknown): void => {
                    received.push((fromWireValue(message) as LinkMessage).k);
                    if (received.length === 2) {
                        link.send(ack);
                        // The next message follows the acknowledgement.
                        setTimeout(() => peerLinks?.send(`${host}:${server?.port}`, heartbeat), 30);
                    }
                    if (received.length === 3) {
                        resolve();
                    }
                };
                createLinkServer({ host, port: 0, receiveTimeoutMs: 0 }, { onMessage, onClose: () => undefined }).then(
                    created => {
                        server = created;
                        peerLinks = createPeerLinks({
                            hostId: "a:1",
                            localAddress: host,
                            clock: () => performance.now(),
                            onSent: (_to, _message, bytes) => sentBytes.push(bytes),
                        });
                        peerLinks.send(`${host}:${created.port}`, heartbeat);
                    },
                    reject,
                );
            });
            expect(received).to.deep.equal(expected);
            expect(sentBytes.length).to.equal(3);
        });
    }
});
