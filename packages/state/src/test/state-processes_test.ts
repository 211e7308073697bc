import { compareVersions, noVersion, StateReplyKind, StateRequestKind, StateRole } from "@cassiapick/core";
import type { StateReply, Version } from "@cassiapick/core";
import { expect } from "chai";
import { createStateProcesses, waitFor } from "../testing.js";
import type { StateProcesses } from "../testing.js";

const testLimitMs = 120_000;
const bootstrap = ["--bootstrap", "true", "--snapshot-every", "50"];

const versionOf = (reply: StateReply): Version => {
    expect(reply.kind).to.equal(StateReplyKind.Applied);
    return (reply as { version: Version; }).version;
};

const applyMany = async (hosts: StateProcesses, prefix: string, count: number, from: Version): Promise<Version> => {
    let version = from;
    for (let index = 0; index < count; index += 1) {
        version = versionOf(await hosts.apply(`${prefix}-${index}`, version));
    }
    return version;
};

const reaches = (hosts: StateProcesses, hostId: string, version: Version): Promise<boolean> =>
    waitFor(`'${hostId}' to hold the latest version`, async () => {
        const status = await hosts.status(hostId);
        const isThere = status !== undefined && status.role !== StateRole.Recovering
            && compareVersions(status.committed, version) === 0;
        return isThere ? true : undefined;
    });

/** What happens to the leader, and how it comes back. */
const blows: {
    name: string;
    strike: (hosts: StateProcesses, hostId: string) => Promise<void>;
    mend: (hosts: StateProcesses, hostId: string) => Promise<void>;
}[] = [
    {
        name: "is killed",
        strike: async (hosts, hostId) => {
            hosts.signal(hostId, "SIGKILL");
            await hosts.ended(hostId);
        },
        mend: (hosts, hostId) => hosts.start(hostId),
    },
    {
        name: "is stopped for a while",
        strike: (hosts, hostId) => Promise.resolve(hosts.signal(hostId, "SIGSTOP")),
        mend: (hosts, hostId) => Promise.resolve(hosts.signal(hostId, "SIGCONT")),
    },
    {
        name: "is asked to stop",
        strike: async (hosts, hostId) => {
            hosts.signal(hostId, "SIGTERM");
            expect(await hosts.ended(hostId)).to.equal(0);
        },
        mend: (hosts, hostId) => hosts.start(hostId),
    },
    {
        name: "loses its disk",
        strike: async (hosts, hostId) => {
            hosts.signal(hostId, "SIGKILL");
            await hosts.ended(hostId);
            await hosts.loseDisk(hostId);
        },
        // The flag of the first start is left in place, as in a service file that nobody has edited.
        mend: (hosts, hostId) => hosts.start(hostId, bootstrap),
    },
];

describe("state hosts as processes", function () {
    this.timeout(testLimitMs);
    let hosts: StateProcesses;

    beforeEach(async () => {
        hosts = await createStateProcesses(3);
        await Promise.all(hosts.hostIds.map(hostId => hosts.start(hostId, bootstrap)));
    });
    afterEach(() => hosts.close());

    for (const { name, strike, mend } of blows) {
        it(`keeps every accepted change when the leader ${name}`, async () => {
            const before = await applyMany(hosts, "before", 10, noVersion);
            // Two hosts accept changes while the third is still joining; a loss is tolerated once all three vote.
            await Promise.all(hosts.hostIds.map(hostId => reaches(hosts, hostId, before)));
            const leader = await hosts.leader();
            await strike(hosts, leader);
            const others = hosts.hostIds.filter(hostId => hostId !== leader);
            await hosts.leader(others);
            const during = await applyMany(hosts, "during", 10, before);
            await mend(hosts, leader);
            await reaches(hosts, leader, during);
            expect(during).to.deep.equal({ epoch: 0, index: 20 });
            expect(await hosts.apply("before-3", noVersion)).to.deep.equal({
                kind: StateReplyKind.Applied,
                version: { epoch: 0, index: 4 },
            });
        });
    }

    it("comes back with the latest of several hundred changes after every host was killed", async () => {
        const latest = await applyMany(hosts, "change", 300, noVersion);
        for (const hostId of hosts.hostIds) {
            hosts.signal(hostId, "SIGKILL");
            await hosts.ended(hostId);
        }
        await Promise.all(hosts.hostIds.map(hostId => hosts.start(hostId)));
        await Promise.all(hosts.hostIds.map(hostId => reaches(hosts, hostId, latest)));
        const reply = await waitFor("a read", async () => {
            const answer = await hosts.ask(hosts.hostIds[0]!, { kind: StateRequestKind.Read });
            return answer?.kind === StateReplyKind.Tables ? answer : undefined;
        });
        expect(reply.versioned.version).to.deep.equal(latest);
        expect(reply.versioned.tables.routes[0]!.brand).to.equal("change-299");
    });

    it("lets one of several racing changes win and tells the others which", async () => {
        const replies = await Promise.all(["a", "b", "c", "d"].map(changeId => hosts.apply(changeId, noVersion)));
        const winners = replies.filter(reply => reply.kind === StateReplyKind.Applied);
        const losers = replies.filter(reply => reply.kind === StateReplyKind.Conflict);
        expect(winners).to.have.length(1);
        expect(losers).to.have.length(3);
        expect(new Set(losers.map(loser => loser.winningChangeId)).size).to.equal(1);
    });
});
