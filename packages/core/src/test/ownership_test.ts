import { expect } from "chai";
import { ownedSlots, ownerCountFor, ownersOf } from "../index.js";
import type { OwnerCandidate } from "../index.js";

const regions = ["montreal", "quebec", "saguenay"];
const hosts: OwnerCandidate[] = Array.from({ length: 42 }, (_, index) => {
    const region = regions[index % regions.length]!;
    return { hostId: `host-${index}`, region, availabilityZone: `${region}-${index % 2}` };
});
const services = Array.from({ length: 200 }, (_, index) => `service-${index}`);
const hostOf = (hostId: string | undefined): OwnerCandidate => hosts.find(host => host.hostId === hostId)!;

describe("ownersOf", () => {
    it("chooses the same hosts for any order of the list", () => {
        for (const service of services) {
            const input = { service, region: "quebec", count: 2 };
            expect(ownersOf({ ...input, hosts: [...hosts].reverse() })).to.deep.equal(ownersOf({ ...input, hosts }));
        }
    });

    it("stays in the region and chooses the first stand-by in its other availability zone", () => {
        for (const service of services) {
            const { owners, standBys } = ownersOf({ service, region: "quebec", hosts, count: 1 });
            const owner = hostOf(owners[0]);
            const standBy = hostOf(standBys[0]);
            expect([owner.region, standBy.region]).to.deep.equal(["quebec", "quebec"]);
            expect(standBy.availabilityZone).to.not.equal(owner.availabilityZone);
        }
    });

    it("moves only the services that the departing host owned", () => {
        const remainingHosts = hosts.filter(host => host.hostId !== "host-1");
        for (const service of services) {
            const before = ownersOf({ service, region: "quebec", hosts, count: 1 }).owners;
            const after = ownersOf({ service, region: "quebec", hosts: remainingHosts, count: 1 }).owners;
            expect(after[0] === before[0]).to.equal(before[0] !== "host-1");
        }
    });

    it("spreads services evenly over the hosts", () => {
        const counts = new Map<string, number>();
        for (const service of services) {
            const owner = ownersOf({ service, region: "quebec", hosts, count: 1 }).owners[0]!;
            counts.set(owner, (counts.get(owner) ?? 0) + 1);
        }
        // 14 hosts share 200 services: 14.3 each, and three standard deviations are 11.
        expect(Math.max(...counts.values())).to.be.at.most(26);
    });

    const fallbacks: { name: string; hosts: OwnerCandidate[]; region: string; owners: number; standBys: number; }[] = [
        { name: "no host at all", hosts: [], region: "quebec", owners: 0, standBys: 0 },
        {
            name: "no host in the region",
            hosts: hosts.filter(host => host.region !== "quebec"),
            region: "quebec",
            owners: 1,
            standBys: 2,
        },
        { name: "one host left", hosts: hosts.slice(0, 1), region: "montreal", owners: 1, standBys: 0 },
    ];
    for (const { name, hosts: live, region, owners, standBys } of fallbacks) {
        it(`handles ${name}`, () => {
            const ownership = ownersOf({ service: "seat-maps", region, hosts: live, count: 1 });
            expect([ownership.owners.length, ownership.standBys.length]).to.deep.equal([owners, standBys]);
        });
    }
});

describe("ownerCountFor", () => {
    const cases = [
        { ratePerSecond: 0, current: 1, count: 1 },
        { ratePerSecond: 790, current: 1, count: 1 },
        { ratePerSecond: 810, current: 1, count: 2 },
        { ratePerSecond: 700, current: 2, count: 2 },
        { ratePerSecond: 490, current: 2, count: 1 },
        { ratePerSecond: 2500, current: 1, count: 4 },
    ];
    for (const { ratePerSecond, current, count } of cases) {
        it(`changes ${current} owners at ${ratePerSecond} requests/s to ${count}`, () => {
            expect(ownerCountFor({ ratePerSecond, ratePerOwner: 1000, current })).to.equal(count);
        });
    }
});

describe("ownedSlots", () => {
    it("gives shares that add up to the slots of the member", () => {
        for (let owners = 1; owners <= 5; owners += 1) {
            for (const serverId of services) {
                let totalSlots = 0;
                for (let ownerIndex = 0; ownerIndex < owners; ownerIndex += 1) {
                    totalSlots += ownedSlots({ serverId, slots: 3, ownerIndex, owners });
                }
                expect(totalSlots).to.equal(3);
            }
        }
    });
});
