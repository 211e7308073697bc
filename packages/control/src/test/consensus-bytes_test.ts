import {
    createRandom,
    createStateNode,
    FactKind,
    HostPhase,
    HostRole,
    LinkMessageKind,
    NodeActionKind,
    NodeEventKind,
    ServingState,
    StateRequestKind,
    toCompactMessage,
    toWireValue,
} from "@cassiapick/core";
import type { Fact, LinkMessage, PeerMessage, StateNode, StateRequest } from "@cassiapick/core";
import { createFrameHistory, encodeCompactFrame, encodeFrameWithHistory } from "@cassiapick/wire";
import type { FrameHistory } from "@cassiapick/wire";
import { expect } from "chai";

const tickMs = 20;
const hostIds = Array.from({ length: 6 }, (_, index) => `10.${index + 1}.0.48:7680`);
const startedAt = 1_782_222_860_000;

const serverFact = (index: number): Fact => ({
    kind: FactKind.Server,
    server: {
        serverId: `i-${(index * 7_654_321_987).toString(16)}`,
        service: ["pew1", "goda5b", "bozi3c", "lebo2d"][index % 4]!,
        address: `10.${index % 6 + 1}.64.${index}:8206`,
        availabilityZone: `zone-${index % 6}`,
        slots: 6,
        state: ServingState.Ready,
        bornAt: startedAt + index,
        warmupLeftMs: 2500,
    },
    keeper: hostIds[index % 6]!,
    at: startedAt + 1000 + index,
});

const hostFact = (index: number): Fact => ({
    kind: FactKind.Host,
    host: {
        hostId: `front-${index}`,
        role: HostRole.Entry,
        address: `10.${index % 6 + 1}.0.${index}:8080`,
        forwardAddress: `10.${index % 6 + 1}.0.${index}:7680`,
        availabilityZone: `zone-${index % 6}`,
        region: `region-${index % 3}`,
        state: HostPhase.Ready,
        startedAt: startedAt + index,
    },
    keeper: hostIds[index % 6]!,
});

/** A document with 76 workspaces and their keys, which deflate badly; its end differs from number to number. */
const documentOf = (number: number): string => {
    const random = createRandom(1);
    const key = (): string => Array.from({ length: 4 }, () => random.below(2 ** 32).toString(16)).join("");
    const rows = Array.from({ length: 76 }, (_, index) => [`workspace-${index}`, [key(), key()], index * 3]);
    return JSON.stringify({ tenants: rows, routes: [["r", "h.example", "/a/", number]] });
};

/** A document with 1,400 routes, of which the timeout of one differs from number to number. */
const longDocumentOf = (number: number): string => {
    const random = createRandom(2);
    const name = (): string => random.below(2 ** 31).toString(36);
    const rows = Array.from({ length: 1400 }, (_, index) => [
        `r-${name()}`,
        `${name()}.example`,
        `/${name()}/`,
        "safe",
        index === number * 37 % 1400 ? 3 + number / 10 : 2.5,
        1,
        index % 3,
        "quotes",
    ]);
    return JSON.stringify({ version: `r${number}`, routes: { rows } });
};

/** Bytes of the messages between six state hosts, as they were sent before and in short forms. */
interface ConsensusBytes {
    whole: number;
    short: number;
}

/** Plays state hosts in fake time; `requestAt` returns the requests of a time, each with the place of the host that it goes to. */
const play = (lengthMs: number, requestAt: (now: number) => [place: number, request: StateRequest][]): ConsensusBytes => {
    const bytes: ConsensusBytes = { whole: 0, short: 0 };
    const histories = new Map<string, FrameHistory>();
    let inFlight: { from: string; to: string; message: PeerMessage; }[] = [];
    let now = 0;
    const nodes = new Map<string, StateNode>(hostIds.map((hostId, index) => [
        hostId,
        createStateNode({
            hostId,
            hostIds,
            stored: { hardState: { incarnation: 1, founding: true, term: 0 }, entries: [] },
            random: createRandom(index + 1),
            wallClock: () => startedAt + now,
            timing: { heartbeatMs: 200, electionTimeoutMs: 800, requestTimeoutMs: 3000 },
        }),
    ]));

    const count = (from: string, to: string, message: PeerMessage): void => {
        const history = histories.get(`${from} ${to}`) ?? createFrameHistory();
        histories.set(`${from} ${to}`, history);
        const m = toCompactMessage(message);
        const whole: LinkMessage = { k: LinkMessageKind.Consensus, m: message };
        const short: LinkMessage = m === undefined ? whole : { k: LinkMessageKind.CompactConsensus, m };
        bytes.whole += encodeCompactFrame(whole).length;
        bytes.short += encodeFrameWithHistory(toWireValue(short), history, true).length;
    };

    const step = (hostId: string, event: Parameters<StateNode["step"]>[0]): void => {
        for (const action of nodes.get(hostId)!.step(event, now)) {
            if (action.kind === NodeActionKind.Send) {
                count(hostId, action.to, action.message);
                inFlight.push({ from: hostId, to: action.to, message: structuredClone(action.message) });
            }
        }
    };

    let requestId = 0;
    for (; now < lengthMs; now += tickMs) {
        const delivered = inFlight;
        inFlight = [];
        for (const { from, to, message } of delivered) {
            step(to, { kind: NodeEventKind.Message, from, message });
        }
        for (const [place, request] of requestAt(now)) {
            requestId += 1;
            step(hostIds[place]!, { kind: NodeEventKind.Request, requestId, request });
        }
        for (const hostId of hostIds) {
            step(hostId, { kind: NodeEventKind.Tick });
        }
    }
    return bytes;
};

const factsRequest = (fact: Fact): StateRequest => ({ kind: StateRequestKind.Facts, facts: [fact] });

describe("messages between state hosts", () => {
    // The goal for what hosts tell each other is a quarter of the bytes before (issue 37): of whole messages that were repeated
    // until they were acknowledged, or of whole messages that are not repeated where that is less.
    const cases: [name: string, lengthMs: number, bytesBefore: number, requestAt: Parameters<typeof play>[1]][] = [
        ["in 10 s without a change", 10_000, 47_275, () => []],
        [
            "while 160 servers and 93 entry hosts start",
            8000,
            423_019,
            now => {
                const index = (now - 3000) / tickMs;
                const servers = index >= 0 && index < 160 ? [serverFact(index)] : [];
                const hosts = index >= 100 && index < 193 ? [hostFact(index)] : [];
                return [...servers, ...hosts].map((fact, place) => [(index + place) % 6, factsRequest(fact)]);
            },
        ],
        [
            "while an operator publishes four documents and reads each of them",
            12_000,
            202_429,
            now => {
                const number = (now - 3000) / 2000;
                const published = { number: Math.floor(number), document: documentOf(Math.floor(number)) };
                if (number < 1 || number > 5) {
                    return [];
                }
                if (Number.isInteger(number)) {
                    return [[published.number % 6, { kind: StateRequestKind.Publish, published }]];
                }
                return now % 1000 === 0 ? [[4, { kind: StateRequestKind.ReadPublished }]] : [];
            },
        ],
    ];
    it("take at most a quarter of the bytes of whole messages, for failures that are told one by one", () => {
        const history = createFrameHistory();
        const bytes = { whole: 0, short: 0 };
        // Servers get numbers in the order in which they join: 160 of a start, and those that replaced some of them.
        for (let number = 1; number <= 300; number += 1) {
            const message: LinkMessage = { k: LinkMessageKind.RemoteOutcomes, r: [[number, 0, 1, number % 6]] };
            bytes.whole += encodeCompactFrame(message).length;
            bytes.short += encodeFrameWithHistory(toWireValue(message), history).length;
        }
        expect(bytes.short / bytes.whole).to.be.at.most(0.25);
    });

    // Guards against changes that keep state hosts and their links at work, as each carries a long configuration as a whole.
    it("take less for twenty changes of one of 1,400 routes than twice the bytes of one whole configuration", () => {
        const countOf = (changes: number): number =>
            play(12_000, now => {
                const number = (now - 3000) / 400;
                const published = { number, document: longDocumentOf(number) };
                return Number.isInteger(number) && number >= 1 && number <= changes + 1
                    ? [[number % 6, { kind: StateRequestKind.Publish, published }]]
                    : [];
            }).short;
        const oneWhole = countOf(0);
        expect(countOf(20)).to.be.below(2 * oneWhole);
    });

    for (const [name, lengthMs, bytesBefore, requestAt] of cases) {
        it(`take at most a quarter of the bytes of whole messages, ${name}`, () => {
            const { whole, short } = play(lengthMs, requestAt);
            expect(whole).to.be.greaterThan(10_000);
            expect(short / bytesBefore).to.be.at.most(0.25);
        });
    }
});
