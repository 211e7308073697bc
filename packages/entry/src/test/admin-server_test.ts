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
    { name: "accepts an announcement", token: "new", path: "server-1", body: announcement, status: 200, expectedText: "leaseMs" },
    {
        name: "accepts the older of two valid tokens",
        token: "old",
        path: "server-1",
        body: announcement,
        status: 200,
        expectedText: "leaseMs",
    },
    {
        name: "refuses a wrong token",
        token: "bad",
        path: "server-1",
        body: announcement,
        status: 401,
        expectedText: "announce token file",
    },
    {
        name: "refuses a service without a pool",
        token: "new",
        path: "server-1",
        body: { ...announcement, services: ["nobody"] },
        status: 409,
        expectedText: "seat-maps",
    },
    {
        name: "refuses a port out of range",
        token: "new",
        path: "server-1",
        body: { ...announcement, port: 70_000 },
        status: 400,
        expectedText: "port",
    },
    {
        name: "refuses an unknown field",
        token: "new",
        path: "server-1",
        body: { ...announcement, weight: 1 },
        status: 400,
        expectedText: "weight",
    },
    {
        name: "refuses an id that differs from the id in the path",
        token: "new",
        path: "server-2",
        body: announcement,
        status: 400,
        expectedText: "Make them the same",
    },
    {
        name: "refuses a body that is not JSON",
        token: "new",
        path: "server-1",
        body: "{",
        status: 400,
        expectedText: "can't be read",
    },
];

describe("createAdminServer", () => {
    let server: Server;
    let origin: string;
    let announcementCount: number;

    beforeEach(async () => {
        announcementCount = 0;
        server = createAdminServer({
            announceTokens: createTokenSet(["new", "old"]),
            operatorTokens: createTokenSet(["operator"]),
            services: () => ["seat-maps"],
            onAnnounce: () => {
                announcementCount += 1;
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

    for (const { name, token, path, body, status, expectedText } of cases) {
        it(name, async () => {
            const res = await request(`${origin}${announcePath}${path}`, {
                method: "PUT",
                headers: { authorization: `Bearer ${token}` },
                body: typeof body === "string" ? body : JSON.stringify(body),
            });
            expect(await res.body.text()).to.contain(expectedText);
            expect(res.statusCode).to.equal(status);
            expect(announcementCount).to.equal(status === 200 ? 1 : 0);
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
