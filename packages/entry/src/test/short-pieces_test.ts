import { expect } from "chai";
import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";

const program = fileURLToPath(new URL("short-pieces-process.js", import.meta.url));
/** Twelve bodies of 200,000 bytes and the program find room in this heap; their pieces, as buffers, would need over 200 MB. */
const heapMb = 48;

// Guards against answers in chunks of one byte that take the host over its heap, and end all requests that it holds.
describe("answers in pieces of one byte", () => {
    it("leave the heap of the process room", async () => {
        const child = spawn(process.execPath, [`--max-old-space-size=${heapMb}`, program], { stdio: "ignore" });
        const end = await new Promise(resolve => child.on("close", (code, signal) => resolve(signal ?? code)));
        expect(end).to.equal(0);
    });
});
