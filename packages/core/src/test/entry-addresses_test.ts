import { expect } from "chai";
import { entryAddressesForCaller, HostPhase, HostRole } from "../index.js";
import type { FleetHost } from "../index.js";

const { Ready, NoServerPath, Leaving } = HostPhase;

/** Creates hosts "zone-1", "zone-2" and so on, one for each phase. */
const hostsIn = (availabilityZone: string, region: string, phases: readonly HostPhase[]): FleetHost[] =>
    phases.map((state, index) => ({
        hostId: `${availabilityZone}-${index + 1}`,
        role: HostRole.Entry,
        address: `${availabilityZone}-${index + 1}`,
        availabilityZone,
        region,
        state,
        startedAt: 0,
        keeper: "",
        revision: 1,
    }));

interface Case {
    name: string;
    /** Phases of the hosts in the caller's zone, in the other zone of its region, and in another region. */
    local: HostPhase[];
    regional?: HostPhase[];
    remote?: HostPhase[];
    /** Hosts that have stopped sending. */
    silent?: string[];
    expected: string[];
}

const cases: Case[] = [
    { name: "the ready hosts of its zone", local: [Ready, Ready, Leaving], expected: ["a1-1", "a1-2"] },
    { name: "hosts of its region if its zone has one", local: [Ready], expected: ["a1-1", "a2-1", "a2-2"] },
    { name: "no host without a path to the servers", local: [Ready, NoServerPath, Ready], expected: ["a1-1", "a1-3"] },
    {
        name: "hosts of its region too if most of its zone have no path",
        local: [Ready, Ready, NoServerPath, NoServerPath, NoServerPath],
        expected: ["a1-1", "a1-2", "a2-1", "a2-2"],
    },
    { name: "hosts of its region if its zone has no path", local: [NoServerPath, NoServerPath], expected: ["a2-1", "a2-2"] },
    {
        name: "hosts of another region if its own has no path",
        local: [NoServerPath, NoServerPath],
        regional: [NoServerPath],
        expected: ["b1-1", "b1-2"],
    },
    {
        name: "hosts without a path if there are no others",
        local: [NoServerPath, NoServerPath],
        regional: [NoServerPath],
        remote: [Leaving],
        expected: ["a1-1", "a1-2"],
    },
    {
        name: "hosts without a path to share the load of a single ready one",
        local: [NoServerPath, Ready, NoServerPath, NoServerPath],
        regional: [],
        remote: [],
        expected: ["a1-2", "a1-1", "a1-3", "a1-4"],
    },
    { name: "no silent host", local: [Ready, Ready, Ready], silent: ["a1-2"], expected: ["a1-1", "a1-3"] },
    {
        name: "hosts of its region too if most of its zone are silent",
        local: [Ready, Ready, Ready, Ready, Ready],
        silent: ["a1-1", "a1-2", "a1-3"],
        expected: ["a1-4", "a1-5", "a2-1", "a2-2"],
    },
    {
        name: "silent hosts if there are no others",
        local: [Ready, Ready],
        regional: [],
        remote: [],
        silent: ["a1-1", "a1-2"],
        expected: ["a1-1", "a1-2"],
    },
];

// Guards against callers that are sent to hosts which can't connect to any backend server, or to no host at all.
describe("the directory names to a caller", () => {
    for (const { name, local, regional = [Ready, Ready], remote = [Ready, Ready], silent = [], expected } of cases) {
        it(name, () => {
            const hosts = [...hostsIn("a1", "a", local), ...hostsIn("a2", "a", regional), ...hostsIn("b1", "b", remote)];
            expect(entryAddressesForCaller(hosts, "a1", "a", host => silent.includes(host.hostId))).to.deep.equal(expected);
        });
    }
});
