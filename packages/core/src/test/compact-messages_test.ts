import { expect } from "chai";
import {
    EntryKind,
    FactKind,
    fromCompactMessage,
    HostPhase,
    HostRole,
    PeerMessageKind,
    ServingState,
    StateReplyKind,
    StateRequestKind,
    toCompactMessage,
} from "../index.js";
import type { AppendMessage, CompactMessage, Fact, HostAnnouncement, PeerMessage, ServerAnnouncement } from "../index.js";

const server: ServerAnnouncement = {
    serverId: "i-1",
    service: "quotes",
    address: "10.0.0.1:80",
    availabilityZone: "z1",
    slots: 3,
    state: ServingState.Ready,
    bornAt: 1_700_000_000_100,
    warmupLeftMs: 12.5,
};
const host: HostAnnouncement = {
    hostId: "h",
    role: HostRole.Entry,
    address: "10.0.0.9:80",
    forwardAddress: "10.0.0.9:81",
    availabilityZone: "z1",
    region: "r1",
    state: HostPhase.NoServerPath,
    startedAt: 1_700_000_000_000,
};
const at = 1_700_000_009_000;

const facts: [name: string, facts: Fact[]][] = [
    ["a server that is ready", [{ kind: FactKind.Server, server, keeper: "k:1", at }]],
    ["a server that leaves", [{
        kind: FactKind.Server,
        server: { ...server, state: ServingState.Draining },
        keeper: "k:1",
        at,
    }]],
    ["a server without a start time", [{ kind: FactKind.Server, server: { ...server, bornAt: 0 }, keeper: "k:1", at }]],
    ["a server with a start time that is not whole", [{
        kind: FactKind.Server,
        server: { ...server, bornAt: 0.1 },
        keeper: "k:1",
        at,
    }]],
    ["a server at an address without a port", [{
        kind: FactKind.Server,
        server: { ...server, address: "::1" },
        keeper: "k:1",
        at,
    }]],
    ["an entry host", [{ kind: FactKind.Host, host, keeper: "k:1" }]],
    ["an entry host with another host for its peers", [{
        kind: FactKind.Host,
        host: { ...host, forwardAddress: "10.0.0.7:81" },
        keeper: "k:1",
    }]],
    ["a state host", [{
        kind: FactKind.Host,
        host: {
            hostId: "10.0.0.2:7",
            role: HostRole.State,
            address: "10.0.0.2:7",
            availabilityZone: "z1",
            region: "r1",
            state: HostPhase.Departed,
            startedAt: 5,
            takesQuarantine: true,
        },
        keeper: "k:1",
    }]],
    ["facts of several keepers and kinds", [
        { kind: FactKind.Host, host, keeper: "k:1" },
        { kind: FactKind.ServerLeft, serverId: "i-2", bornAt: 3 },
        { kind: FactKind.Server, server, keeper: "k:1", at },
        { kind: FactKind.Server, server, keeper: "k:2", at },
        { kind: FactKind.Host, host, keeper: "k:2" },
    ]],
    // A row would lose the field on the way to a host of the same later version.
    ["a record with a field that rows don't have", [{
        kind: FactKind.Host,
        host: { ...host, later: 1 } as HostAnnouncement,
        keeper: "k:1",
    }]],
];

const append: AppendMessage = {
    kind: PeerMessageKind.Append,
    term: 7,
    previousIndex: 40,
    previousTerm: 5,
    entries: [],
    commitIndex: 38,
    quorumAgeMs: 20,
    round: 9,
};

const messages: [name: string, message: PeerMessage][] = [
    ["a heartbeat", append],
    ["a heartbeat of a leader that committed more", { ...append, commitIndex: 55 }],
    ["a heartbeat without a majority", { ...append, quorumAgeMs: Infinity }],
    ["entries of several terms", {
        ...append,
        entries: [
            { index: 41, term: 6, body: { kind: EntryKind.Noop } },
            { index: 42, term: 7, body: { kind: EntryKind.AddVoter, hostId: "k:3", incarnation: 2 ** 44 } },
        ],
    }],
    ["a reply", { kind: PeerMessageKind.AppendReply, term: 7, ok: true, index: 42, round: 9, incarnation: 2 ** 44 }],
    ["a reply that refuses", { kind: PeerMessageKind.AppendReply, term: 7, ok: false, index: 3, round: 9, incarnation: 1 }],
    ["a reply to forwarded facts", {
        kind: PeerMessageKind.ForwardReply,
        forwardId: 4,
        reply: { kind: StateReplyKind.Recorded },
    }],
    ...facts.flatMap(([name, rows]): [string, PeerMessage][] => [
        [`an entry with ${name}`, {
            ...append,
            entries: [{ index: 41, term: 7, body: { kind: EntryKind.Facts, facts: rows } }],
        }],
        [`forwarded: ${name}`, {
            kind: PeerMessageKind.Forward,
            forwardId: 4,
            request: { kind: StateRequestKind.Facts, facts: rows },
        }],
    ]),
];

describe("short forms of messages between state hosts", () => {
    for (const [name, message] of messages) {
        it(`keep ${name}`, () => {
            const compact = toCompactMessage(message);
            expect(compact).to.be.an("array");
            expect(fromCompactMessage(structuredClone(compact!))).to.deep.equal(message);
        });
    }

    it("round the age of a majority up", () => {
        const decoded = fromCompactMessage(toCompactMessage({ ...append, quorumAgeMs: 20.01 })!);
        expect(decoded).to.deep.equal({ ...append, quorumAgeMs: 21 });
    });

    const without: [name: string, message: PeerMessage][] = [
        ["a vote", { kind: PeerMessageKind.VoteReply, term: 1, preVote: true, granted: true, incarnation: 1 }],
        ["a published configuration", {
            kind: PeerMessageKind.Forward,
            forwardId: 4,
            request: { kind: StateRequestKind.Publish, published: { number: 1, document: "{}" } },
        }],
        ["a reply that refuses a request", {
            kind: PeerMessageKind.ForwardReply,
            forwardId: 4,
            reply: { kind: StateReplyKind.Unavailable, retryAfterMs: 1, message: "" },
        }],
        ["entries with a gap", { ...append, entries: [{ index: 43, term: 7, body: { kind: EntryKind.Noop } }] }],
    ];
    for (const [name, message] of without) {
        it(`don't exist for ${name}`, () => {
            expect(toCompactMessage(message)).to.equal(undefined);
        });
    }

    it("of later versions are no message", () => {
        expect(fromCompactMessage([99, 1] as unknown as CompactMessage)).to.equal(undefined);
    });
});
