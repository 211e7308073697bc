import { expect } from "chai";
import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";

const program = fileURLToPath(new URL("short-pieces-process.js", import.meta.url));
const testLimitMs = 60_000;
/** Eight bodies of 150,000 bytes and the program find room in this heap; their pieces, as buffers, would need over 200 MB. */
const heapMb = 48;

const run = (scenario: string): Promise<string> =>
    new Promise(resolve => {
        const child = spawn(process.execPath, [`--max-old-space-size=${heapMb}`, program, scenario], {
            stdio: ["ignore", "ignore", "pipe"],
        });
        let errors = "";
        child.stderr.on("data", (text: Buffer) => {
            errors += text.toString();
        });
        child.on("close", (code, signal) => resolve(code === 0 ? "read" : `${signal ?? code}: ${errors.slice(0, 500)}`));
    });

const cases: { name: string; scenario: string; }[] = [
    { name: "answers", scenario: "answers" },
    { name: "answers whose chunks have extensions", scenario: "answers-with-extensions" },
    { name: "answers without end that are not passed on yet", scenario: "unread-streams" },
    { name: "answers without end whose callers read nothing", scenario: "unread-answers" },
    { name: "requests", scenario: "requests" },
];

// Guards against bodies in chunks of one byte that take the host over its heap, and end all requests that it holds.
describe("bodies in pieces of one byte", function () {
    this.timeout(testLimitMs);
    for (const { name, scenario } of cases) {
        it(`leave the heap of the process room: ${name}`, async () => {
            expect(await run(scenario)).to.equal("read");
        });
    }
});
