import { expect } from "chai";
import { createLinkTraffic, LinkDistance, linkDistance, LinkMessageKind, PeerMessageKind, toCompactMessage } from "../index.js";
import type { LinkPlace, PeerMessage } from "../index.js";

const heartbeat: PeerMessage = {
    kind: PeerMessageKind.Append,
    term: 1,
    previousIndex: 1,
    previousTerm: 1,
    entries: [],
    commitIndex: 1,
    quorumAgeMs: 1,
    round: 1,
};

describe("link traffic", () => {
    const own: LinkPlace = { availabilityZone: "z1", region: "r1" };
    const places: [name: string, place: LinkPlace | undefined, expected: LinkDistance][] = [
        ["the same zone", { availabilityZone: "z1", region: "r1" }, LinkDistance.SameZone],
        ["another zone", { availabilityZone: "z2", region: "r1" }, LinkDistance.OtherZone],
        ["another region", { availabilityZone: "z3", region: "r2" }, LinkDistance.OtherRegion],
        ["a host that has not said where it is", undefined, LinkDistance.Unknown],
        ["a host of which only the address is known", {}, LinkDistance.Unknown],
    ];
    for (const [name, place, expected] of places) {
        it(`tells ${name}`, () => {
            expect(linkDistance(own, place)).to.equal(expected);
        });
    }

    const kinds: [name: string, message: unknown, expected: string][] = [
        ["a message by its kind", { k: LinkMessageKind.RemoteOutcomes, r: [] }, "RemoteOutcomes"],
        ["a heartbeat of the consensus", { k: LinkMessageKind.Consensus, m: heartbeat }, "Consensus-append"],
        ["its short form", { k: LinkMessageKind.CompactConsensus, m: toCompactMessage(heartbeat) }, "Consensus-append"],
        ["a message of another kind", { k: "?" }, "Other"],
        ["a frame whose message is not given", undefined, "Other"],
    ];
    for (const [name, message, expected] of kinds) {
        it(`counts ${name}`, () => {
            const traffic = createLinkTraffic();
            traffic.sent(message, 20, LinkDistance.OtherRegion);
            traffic.sent(message, 10, LinkDistance.OtherRegion);
            const labels = `{kind="${expected}",distance="other-region"}`;
            expect(traffic.gauges()).to.deep.equal({
                [`cassiapick_link_messages_total${labels}`]: 2,
                [`cassiapick_link_bytes_total${labels}`]: 30,
            });
        });
    }
});
