import { createRandom, HostPhase, LinkMessageKind } from "@cassiapick/core";
import type { LinkMessage } from "@cassiapick/core";
import { createEventLog, LogFormat } from "@cassiapick/operations";
import { createLinkServer } from "@cassiapick/wire";
import type { LinkServer } from "@cassiapick/wire";
import { expect } from "chai";
import { createStateLink } from "../lib/state-link.js";
import type { StateLink } from "../lib/state-link.js";

/** Starts a stand-in of a state host whose view has the age `ageMs`; calls `attached` when an entry host attaches. */
const startStateHost = async (ageMs: number, attached: (port: number) => void): Promise<LinkServer> => {
    const server = await createLinkServer({ host: "127.0.0.1", port: 0, receiveTimeoutMs: 0 }, {
        onMessage: (link, received) => {
            const message = received as LinkMessage;
            if (message.k === LinkMessageKind.ViewQuery) {
                link.send({ k: LinkMessageKind.ViewAge, ageMs } satisfies LinkMessage);
            }
            if (message.k === LinkMessageKind.EntryHello) {
                attached(server.port);
            }
        },
        onClose: () => undefined,
    });
    return server;
};

describe("link of an entry host to the state hosts", () => {
    const running: { close(): unknown; }[] = [];
    afterEach(async () => {
        await Promise.all(running.splice(0).map(part => part.close()));
    });

    const openLinkTo = (ports: readonly number[]): StateLink =>
        createStateLink({
            availabilityZone: "z1",
            region: "r1",
            seeds: ports.map(port => `127.0.0.1:${port}`),
            localAddress: "127.0.0.1",
            random: createRandom(1),
            clock: () => performance.now(),
            log: createEventLog({ program: "test", hostId: "h", format: LogFormat.Json, write: () => undefined }),
            hello: () => ({
                k: LinkMessageKind.EntryHello,
                hostId: "h",
                address: "127.0.0.1:1",
                availabilityZone: "z1",
                region: "r1",
                startedAt: 1,
                phase: HostPhase.Leaving,
                configNumber: 0,
                serversRevision: 0,
            }),
            receive: () => undefined,
            onQuotaLink: () => undefined,
            onDetached: () => undefined,
            drainReports: () => [],
            drainLimitReports: () => [],
        });

    const cases: [name: string, ages: number[], expected: number][] = [
        ["attaches to a state host that is up to date", [50], 0],
        ["attaches to a state host without a majority while there is no other", [-1], 0],
        ["moves on from a state host without a majority to one that is up to date", [-1, 50], 1],
    ];
    for (const [name, ages, expected] of cases) {
        // Guards against staying on, or waiting for, a state host that no majority confirms.
        it(name, async () => {
            const attachedPorts: number[] = [];
            let finish: () => void = () => undefined;
            const isAttached = new Promise<void>(resolve => {
                finish = resolve;
            });
            const servers: LinkServer[] = [];
            const attached = (port: number): void => {
                attachedPorts.push(port);
                if (port === servers[expected]!.port) {
                    finish();
                }
            };
            for (const ageMs of ages) {
                servers.push(await startStateHost(ageMs, attached));
            }
            running.push(openLinkTo(servers.map(server => server.port)), ...servers);
            await isAttached;
            expect(attachedPorts.at(-1)).to.equal(servers[expected]!.port);
        });
    }
});
