/** The event log: one line per event, also with malicious field values. */
import { expect } from "chai";
import { createEventLog, LogFormat, withFields } from "../lib/event-log.js";
import { EventLevel, events } from "../lib/events.js";

describe("createEventLog", () => {
    const hostileText = `a"b\n2026 CP9999 ${"x".repeat(5000)}`;

    const logLines = (format: LogFormat): string[] => {
        const lines: string[] = [];
        const log = createEventLog({
            program: "entry",
            hostId: "entry-1",
            format,
            write: line => lines.push(line),
            now: () => 0,
        });
        withFields(log, { requestId: "r-1" }).log("requestRefused", { reason: hostileText, skipped: undefined });
        log.log("started");
        return lines;
    };

    it("writes one line of text with the bound fields", () => {
        const lines = logLines(LogFormat.Text);
        expect(lines).to.have.length(1);
        expect(lines[0]).to.match(
            /^1970-01-01T00:00:00.000Z CP4001 warn entry entry-1 requestRefused requestId="r-1" reason="a\\"b\\n2026/,
        );
        expect(lines[0]).not.to.include("\n");
        expect(lines[0]!.length).to.be.below(1200);
    });

    it("writes one JSON object per line", () => {
        const [line] = logLines(LogFormat.Json);
        expect(JSON.parse(line!)).to.deep.include({ code: "CP4001", level: "warn", event: "requestRefused", requestId: "r-1" });
    });

    it("has unique codes, and a remedy for each event that is not informational", () => {
        const definitions = Object.values(events);
        expect(new Set(definitions.map(event => event.code)).size).to.equal(definitions.length);
        for (const { code, level, remedy } of definitions) {
            expect(code).to.match(/^CP[1-5]\d{3}$/);
            expect(level === EventLevel.Info || remedy !== "Nothing to do.").to.equal(true, code);
        }
    });
});
