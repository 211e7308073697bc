/** Starts programs of the workspace and watches them (development only). */
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

/** A program that has said that it serves. */
export interface RunningProgram {
    name: string;
    pid: number;
    /** What it printed when it began to serve. */
    firstLine: string;
    /** Lines that it printed after that. */
    lines: string[];
    signal(name: NodeJS.Signals): void;
    /** Resolves with the exit code, or -1 when a signal ended it. */
    exited: Promise<number>;
}

const startTimeoutMs = 30_000;
const packagesFolder = fileURLToPath(new URL("../../../", import.meta.url));

const running = new Set<ChildProcess>();

// A demo that ends early must leave no process behind; after a graceful stop there is none left to kill.
process.on("exit", () => {
    for (const child of running) {
        child.kill("SIGKILL");
    }
});

const watchExit = (child: ChildProcess): Promise<number> =>
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
        running.add(child);
        const exited = watchExit(child);
        void exited.then(() => running.delete(child));
        const lines: string[] = [];
        const timer = setTimeout(() => {
            child.kill("SIGKILL");
            reject(new Error(`${options.name} did not start within ${startTimeoutMs} ms.`));
        }, startTimeoutMs);
        void exited.then(code => {
            clearTimeout(timer);
            reject(new Error(`${options.name} ended with code ${code} before it served. Its messages stand above.`));
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
                    exited,
                });
            }
        });
    });
