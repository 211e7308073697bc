import { createRandom, LinkMessageKind, Repeatability, ServingState, toServerRow } from "@cassiapick/core";
import type { GatewayConfig, LinkMessage, Workspace } from "@cassiapick/core";
import { keyDigestOf } from "@cassiapick/operations";
import { createLinkServer } from "@cassiapick/wire";
import type { Link, LinkServer } from "@cassiapick/wire";
import { expect } from "chai";
import { createServer, request } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { EntryGateway } from "../lib/entry-gateway-contract.js";
import { startEntryGateway } from "../lib/entry-gateway.js";
import { testHeaderNames, testServer } from "./test-gateway.js";

const loopback = "127.0.0.1";
const testLimitMs = 20_000;
/** A starting host serves an unconfirmed configuration after 3 s, which must not hold for keys. */
const fallbackMs = 3200;
const viewIntervalMs = 200;

const routeTo = (prefix: string, isPublic: boolean): GatewayConfig["routes"][number] => ({
    name: prefix,
    hostName: "a.example",
    prefix,
    repeatability: Repeatability.AtMostOnce,
    timeoutMs: 5000,
    latencyObjectiveMs: 1000,
    priority: 0,
    maxServers: 1,
    destinations: [{ service: testServer.service, weight: 1 }],
    ...(isPublic ? { isPublic } : {}),
});

const configWith = (number: number, workspaces: Workspace[]): GatewayConfig => ({
    number,
    routes: [routeTo("/x/", false), routeTo("/open/", true)],
    services: [{ name: testServer.service, maxConnections: 10 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
    workspaces,
});

// Guards against a withdrawn key that returns when an entry host starts and reaches a state host without a majority first.
describe("an entry host that starts with a state host without a majority", function () {
    this.timeout(testLimitMs);
    let stateHost: LinkServer;
    let backend: Server;
    let gateway: EntryGateway;
    let ageMs = -1;
    const attachedLinks = new Set<Link>();
    const received: string[] = [];
    let timer: NodeJS.Timeout;

    const send = (path: string, key?: string): Promise<number> =>
        new Promise((resolve, reject) => {
            const headers = {
                Host: "a.example",
                [testHeaderNames.requestId]: path,
                ...(key === undefined ? {} : { "x-key": key }),
            };
            const req = request({ host: loopback, port: gateway.port, path, agent: false, headers }, res => {
                res.resume();
                res.on("end", () => resolve(res.statusCode ?? 0));
            });
            req.on("error", reject);
            req.end();
        });

    before(async () => {
        backend = createServer((req, res) => {
            received.push(`${req.url ?? ""} of ${String(req.headers[testHeaderNames.workspace])}`);
            const requestId = req.headers[testHeaderNames.requestId];
            res.writeHead(200, { [testHeaderNames.requestId]: requestId, [testHeaderNames.signature]: "s" }).end("done");
        });
        await new Promise<void>(resolve => backend.listen(0, loopback, resolve));
        const address = `${loopback}:${(backend.address() as AddressInfo).port}`;
        const old = configWith(1, [{ name: "one", keyDigests: [keyDigestOf("k1")], burst: 0 }]);
        stateHost = await createLinkServer({ host: loopback, port: 0, receiveTimeoutMs: 0 }, {
            onMessage: (link, message) => {
                const { k } = message as LinkMessage;
                if (k === LinkMessageKind.ViewQuery) {
                    link.send({ k: LinkMessageKind.ViewAge, ageMs } satisfies LinkMessage);
                }
                if (k === LinkMessageKind.EntryHello) {
                    attachedLinks.add(link);
                    const rows = [toServerRow({ ...testServer, address, state: ServingState.Ready })];
                    link.send({ k: LinkMessageKind.Servers, rows, revision: 1 } satisfies LinkMessage);
                    link.send({ k: LinkMessageKind.Config, config: old } satisfies LinkMessage);
                }
            },
            onClose: link => void attachedLinks.delete(link),
        });
        timer = setInterval(() => {
            attachedLinks.forEach(link => link.send({ k: LinkMessageKind.ViewAge, ageMs } satisfies LinkMessage));
        }, viewIntervalMs);
        gateway = await startEntryGateway({
            hostId: "entry",
            listenHost: loopback,
            listenPort: 0,
            forwardPort: 0,
            locality: { availabilityZone: "z1", regions: { z1: "r1" } },
            seeds: [`${loopback}:${stateHost.port}`],
            headerNames: testHeaderNames,
            retryBound: { ratio: 1, reserve: 10, windowMs: 10_000 },
            applyWithinMs: 2500,
            revokeWithinMs: 5000,
            refusesOldViews: false,
            stopWithinMs: 1000,
            random: createRandom(1),
            clock: () => performance.now(),
            wallClock: Date.now,
            log: { log: () => undefined },
        });
        await new Promise(resolve => setTimeout(resolve, fallbackMs));
    });
    after(async () => {
        await gateway.stop();
        clearInterval(timer);
        await stateHost.close();
        backend.close();
        backend.closeAllConnections();
    });

    const cases: [path: string, key: string | undefined, status: number, seen: string[]][] = [
        ["/x/1", "k1", 503, []],
        ["/x/2", "k2", 503, []],
        ["/x/3", undefined, 503, []],
        ["/open/1", undefined, 200, ["/open/1 of undefined"]],
    ];
    for (const [path, key, status, seen] of cases) {
        it(`answers ${status} to ${path} with ${key ?? "no key"}`, async () => {
            received.splice(0);
            expect(await send(path, key)).to.equal(status);
            expect(received).to.deep.equal(seen);
        });
    }

    it("is not ready", () => {
        expect(gateway.isReady()).to.equal(false);
    });

    it("serves keys of the newer configuration once a majority confirms it, and refuses the older ones", async () => {
        const config = configWith(2, [{ name: "one", keyDigests: [keyDigestOf("k2")], burst: 0 }]);
        attachedLinks.forEach(link => link.send({ k: LinkMessageKind.Config, config } satisfies LinkMessage));
        ageMs = 0;
        while (!gateway.isReady()) {
            await new Promise(resolve => setTimeout(resolve, viewIntervalMs));
        }
        received.splice(0);
        expect([await send("/x/4", "k1"), await send("/x/5", "k2")]).to.deep.equal([401, 200]);
        expect(received).to.deep.equal(["/x/5 of one"]);
    });
});
