import { compareVersions, noVersion, StateReplyKind, StateRequestKind, StateRole } from "@cassiapick/core";
import type { StateReply, Version } from "@cassiapick/core";
import { expect } from "chai";
import { createStateProcesses, waitFor } from "../testing.js";
import type { StateProcesses } from "../testing.js";

const testTimeoutMs = 120_000;
const bootstrapFlags = ["--bootstrap", "true", "--snapshot-every", "50"];

const appliedVersion = (reply: StateReply): Version => {
    expect(reply.kind).to.equal(StateReplyKind.Applied);
    return (reply as { version: Version; }).version;
};

const applyMany = async (hosts: StateProcesses, prefix: string, count: number, initialVersion: Version): Promise<Version> => {
    let version = initialVersion;
    for (let index = 0; index < count; index += 1) {
        version = appliedVersion(await hosts.applyChange(`${prefix}-${index}`, version));
    }
    return version;
};

const waitForVersion = (hosts: StateProcesses, hostId: string, version: Version): Promise<boolean> =>
    waitFor(`'${hostId}' to reach the expected version`, async () => {
        const status = await hosts.status(hostId);
        const hasReached = status !== undefined && status.role !== StateRole.Recovering
            && compareVersions(status.committed, version) === 0;
        return hasReached ? true : undefined;
    });

/** Faults of the leader, and how it recovers. */
const faults: {
    name: string;
    inject: (hosts: StateProcesses, hostId: string) => Promise<void>;
    recover: (hosts: StateProcesses, hostId: string) => Promise<void>;
}[] = [
    {
        name: "is killed",
        inject: async (hosts, hostId) => {
            hosts.signal(hostId, "SIGKILL");
            await hosts.waitForExit(hostId);
        },
        recover: (hosts, hostId) => hosts.start(hostId),
    },
    {
        name: "is paused",
        inject: (hosts, hostId) => Promise.resolve(hosts.signal(hostId, "SIGSTOP")),
        recover: (hosts, hostId) => Promise.resolve(hosts.signal(hostId, "SIGCONT")),
    },
    {
        name: "is stopped with SIGTERM",
        inject: async (hosts, hostId) => {
            hosts.signal(hostId, "SIGTERM");
            expect(await hosts.waitForExit(hostId)).to.equal(0);
        },
        recover: (hosts, hostId) => hosts.start(hostId),
    },
    {
        name: "loses its disk",
        inject: async (hosts, hostId) => {
            hosts.signal(hostId, "SIGKILL");
            await hosts.waitForExit(hostId);
            await hosts.deleteDataDir(hostId);
        },
        // Keeps the flag of the first start, as an unchanged service file does.
        recover: (hosts, hostId) => hosts.start(hostId, bootstrapFlags),
    },
];

describe("state hosts as processes", function () {
    this.timeout(testTimeoutMs);
    let hosts: StateProcesses;

    beforeEach(async () => {
        hosts = await createStateProcesses(3);
        await Promise.all(hosts.hostIds.map(hostId => hosts.start(hostId, bootstrapFlags)));
    });
    afterEach(() => hosts.close());

    for (const { name, inject, recover } of faults) {
        it(`keeps every accepted change when the leader ${name}`, async () => {
            const versionBefore = await applyMany(hosts, "before", 10, noVersion);
            // Two hosts accept changes while the third is still joining; the loss of a host is tolerated once all three vote.
            await Promise.all(hosts.hostIds.map(hostId => waitForVersion(hosts, hostId, versionBefore)));
            const leader = await hosts.waitForLeader();
            await inject(hosts, leader);
            const others = hosts.hostIds.filter(hostId => hostId !== leader);
            await hosts.waitForLeader(others);
            const versionDuring = await applyMany(hosts, "during", 10, versionBefore);
            await recover(hosts, leader);
            await waitForVersion(hosts, leader, versionDuring);
            expect(versionDuring).to.deep.equal({ epoch: 0, index: 20 });
            expect(await hosts.applyChange("before-3", noVersion)).to.deep.equal({
                kind: StateReplyKind.Applied,
                version: { epoch: 0, index: 4 },
            });
        });
    }

    it("recovers the latest of several hundred changes after every host was killed", async () => {
        const latest = await applyMany(hosts, "change", 300, noVersion);
        for (const hostId of hosts.hostIds) {
            hosts.signal(hostId, "SIGKILL");
            await hosts.waitForExit(hostId);
        }
        await Promise.all(hosts.hostIds.map(hostId => hosts.start(hostId)));
        await Promise.all(hosts.hostIds.map(hostId => waitForVersion(hosts, hostId, latest)));
        const reply = await waitFor("a read", async () => {
            const stateReply = await hosts.sendRequest(hosts.hostIds[0]!, { kind: StateRequestKind.Read });
            return stateReply?.kind === StateReplyKind.Tables ? stateReply : undefined;
        });
        expect(reply.versioned.version).to.deep.equal(latest);
        expect(reply.versioned.tables.routes[0]!.brand).to.equal("change-299");
    });

    it("accepts one of several concurrent changes and names it in the replies to the others", async () => {
        const replies = await Promise.all(["a", "b", "c", "d"].map(changeId => hosts.applyChange(changeId, noVersion)));
        const winners = replies.filter(reply => reply.kind === StateReplyKind.Applied);
        const losers = replies.filter(reply => reply.kind === StateReplyKind.Conflict);
        expect(winners).to.have.length(1);
        expect(losers).to.have.length(3);
        expect(new Set(losers.map(loser => loser.winningChangeId)).size).to.equal(1);
    });
});
