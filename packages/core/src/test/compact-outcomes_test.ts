import { expect } from "chai";
import { fromWireValue, LinkMessageKind, PeerMessageKind, StateReplyKind, toCompactMessage, toWireValue } from "../index.js";
import type { LinkMessage, PeerMessage, ReportRow } from "../index.js";

describe("short forms of outcomes", () => {
    const cases: [name: string, rows: ReportRow[], expected: ReportRow[]][] = [
        ["one failure", [[300, 0, 1, 0]], [[300, 0, 1, 0]]],
        ["several failures of several servers", [[1, 0, 2, 0], [2, 0, 1, 0]], [[1, 0, 2, 0], [2, 0, 1, 0]]],
        ["a hang", [[1, 0, 0, 0, 0, 1]], [[1, 0, 0, 0, 0, 1]]],
        ["a hang that is taken back beside a failure", [[1, 0, 1, 0, 0, -1]], [[1, 0, 1, 0, 0, -1]]],
        ["failures without the load and the successes beside them", [[1, 5, 1, 3, 2, 0]], [[1, 0, 1, 0]]],
        ["nothing", [], []],
    ];
    for (const [name, r, expected] of cases) {
        it(`keep ${name}`, () => {
            const value = structuredClone(toWireValue({ k: LinkMessageKind.RemoteOutcomes, r }));
            expect(fromWireValue(value)).to.deep.equal({ k: LinkMessageKind.RemoteOutcomes, r: expected });
        });
    }

    const recorded: PeerMessage = {
        kind: PeerMessageKind.ForwardReply,
        forwardId: 5,
        reply: { kind: StateReplyKind.Recorded },
    };
    const others: LinkMessage[] = [
        { k: LinkMessageKind.Heartbeat },
        { k: LinkMessageKind.CompactConsensus, m: toCompactMessage(recorded)! },
    ];
    for (const message of others) {
        it(`don't change messages of the kind ${message.k}`, () => {
            expect(fromWireValue(structuredClone(toWireValue(message)))).to.deep.equal(message);
        });
    }
});
