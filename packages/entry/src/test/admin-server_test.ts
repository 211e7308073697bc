import { ServerState } from "@cassiapick/core";
import { createTokenSet } from "@cassiapick/operations";
import { expect } from "chai";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { request } from "undici";
import { announcePath, createAdminServer } from "../lib/admin-server.js";

const announcement = {
    id: "server-1",
    host: "127.0.0.1",
    port: 8080,
    region: "r",
    availabilityZone: "z",
    services: ["seat-maps"],
    slots: 3,
    incarnation: 1,
    sequence: 1,
    state: ServerState.Ready,
};

const cases = [
    { name: "takes an announcement", token: "new", path: "server-1", body: announcement, status: 200, says: "leaseMs" },
    {
        name: "takes the older of two valid tokens",
        token: "old",
        path: "server-1",
        body: announcement,
        status: 200,
        says: "leaseMs",
    },
    {
        name: "refuses a wrong token",
        token: "bad",
        path: "server-1",
        body: announcement,
        status: 401,
        says: "announce token file",
    },
    {
        name: "refuses a service without a pool",
        token: "new",
        path: "server-1",
        body: { ...announcement, services: ["nobody"] },
        status: 409,
        says: "seat-maps",
    },
    {
        name: "refuses a port out of range",
        token: "new",
        path: "server-1",
        body: { ...announcement, port: 70_000 },
        status: 400,
        says: "port",
    },
    {
        name: "refuses an unknown field",
        token: "new",
        path: "server-1",
        body: { ...announcement, weight: 1 },
        status: 400,
        says: "weight",
    },
    {
        name: "refuses another id than the path's",
        token: "new",
        path: "server-2",
        body: announcement,
        status: 400,
        says: "Make them the same",
    },
    { name: "refuses what is not JSON", token: "new", path: "server-1", body: "{", status: 400, says: "can't be read" },
];

describe("createAdminServer", () => {
    let server: Server;
    let origin: string;
    let announced: number;

    beforeEach(async () => {
        announced = 0;
        server = createAdminServer({
            announceTokens: createTokenSet(["new", "old"]),
            operatorTokens: createTokenSet(["operator"]),
            services: () => ["seat-maps"],
            onAnnounce: () => {
                announced += 1;
                return { leaseMs: 1, again: false, echo: { incarnation: 1, clock: 1 }, announceTo: [] };
            },
            status: () => ({}),
            metrics: () => Promise.resolve("cassiapick_open_requests 0"),
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
        origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    });

    afterEach(done => {
        server.close(() => done());
        server.closeAllConnections();
    });

    for (const { name, token, path, body, status, says } of cases) {
        it(name, async () => {
            const res = await request(`${origin}${announcePath}${path}`, {
                method: "PUT",
                headers: { authorization: `Bearer ${token}` },
                body: typeof body === "string" ? body : JSON.stringify(body),
            });
            expect(await res.body.text()).to.contain(says);
            expect(res.statusCode).to.equal(status);
            expect(announced).to.equal(status === 200 ? 1 : 0);
        });
    }

    it("shows its metrics to operators", async () => {
        const res = await request(`${origin}/metrics`, { headers: { authorization: "Bearer operator" } });
        expect(await res.body.text()).to.contain("cassiapick_open_requests");
        expect(res.statusCode).to.equal(200);
    });

    it("shows its status to operators only", async () => {
        const statuses: number[] = [];
        for (const token of ["operator", "new", ""]) {
            const res = await request(`${origin}/status`, { headers: { authorization: `Bearer ${token}` } });
            await res.body.dump();
            statuses.push(res.statusCode);
        }
        expect(statuses).to.deep.equal([200, 401, 401]);
    });
});
