/** Starts programs of the repository as child processes and tracks their exit (development only). */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

/** Options of {@link startProgram}. */
export interface ProgramOptions {
    /** The compiled script, relative to the `packages` folder. */
    script: string;
    args: string[];
    name: string;
    env?: Record<string, string>;
}

/** A started program that has reported that it serves. */
export interface RunningProgram {
    name: string;
    pid: number;
    /** First line of its output, printed when it starts to serve. */
    firstLine: string;
    /** All lines of its output so far, including the first one. */
    lines: string[];
    signal(name: NodeJS.Signals): void;
    /** Resolves with the exit code, or with -1 if a signal ended the program. */
    exitCode: Promise<number>;
}

const startTimeoutMs = 30_000;
const packagesFolder = fileURLToPath(new URL("../../../", import.meta.url));

const runningChildren = new Set<ChildProcess>();

// Kills remaining children, so that an early exit leaves no process behind; after a graceful stop there are none.
process.on("exit", () => {
    for (const child of runningChildren) {
        child.kill("SIGKILL");
    }
});

const waitForExit = (child: ChildProcess): Promise<number> =>
    new Promise(resolve => {
        child.once("exit", code => resolve(code ?? -1));
    });

/** Runs a program to its end and resolves with its exit code and output. */
export const runProgram = (options: ProgramOptions): Promise<{ code: number; output: string; }> =>
    new Promise(resolve => {
        const child = spawn(process.execPath, [packagesFolder + options.script, ...options.args], {
            stdio: ["ignore", "pipe", "pipe"],
            env: { ...process.env, ...options.env },
        });
        let output = "";
        child.stdout.on("data", (chunk: Buffer) => {
            output += chunk.toString("utf8");
        });
        child.stderr.on("data", (chunk: Buffer) => {
            output += chunk.toString("utf8");
        });
        child.once("close", code => resolve({ code: code ?? -1, output }));
    });

/** Starts a program and resolves when it prints its first line; rejects when it ends before that. */
export const startProgram = (options: ProgramOptions): Promise<RunningProgram> =>
    new Promise((resolve, reject) => {
        const child = spawn(process.execPath, [packagesFolder + options.script, ...options.args], {
            stdio: ["ignore", "pipe", "inherit"],
            env: { ...process.env, ...options.env },
        });
        runningChildren.add(child);
        const exitCode = waitForExit(child);
        void exitCode.then(() => runningChildren.delete(child));
        const lines: string[] = [];
        const timer = setTimeout(() => {
            child.kill("SIGKILL");
            reject(new Error(`${options.name} did not start within ${startTimeoutMs} ms.`));
        }, startTimeoutMs);
        void exitCode.then(code => {
            clearTimeout(timer);
            reject(new Error(`${options.name} ended with code ${code} before it served. See its messages above.`));
        });
        createInterface({ input: child.stdout }).on("line", line => {
            if (lines.push(line) === 1) {
                clearTimeout(timer);
                resolve({
                    name: options.name,
                    pid: child.pid!,
                    firstLine: line,
                    lines,
                    signal: name => child.kill(name),
                    exitCode,
                });
            }
        });
    });
