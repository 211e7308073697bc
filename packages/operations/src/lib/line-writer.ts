/** Writes log lines without ever making the process wait: what can't be written in time is dropped and counted. */
import { write } from "node:fs";

/** Options of {@link createLineWriter}. */
export interface LineWriterOptions {
    /** File descriptor; standard output by default. */
    fd?: number;
    /** The most bytes that wait; further lines are dropped. */
    maxWaitingBytes?: number;
    /** Told how many lines were dropped, once lines are written again. */
    dropped?: (lines: number) => void;
}

/** Writes whole lines. */
export interface LineWriter {
    write(line: string): void;
    /** Resolves when all that waits has been written. */
    flush(): Promise<void>;
}

const standardOutput = 1;
const defaultMaxWaitingBytes = 256 * 1024;
/** Lines are gathered for this long, in milliseconds, so that a burst costs one write. */
const gatherMs = 100;
/** Pause before another try when the reader of a pipe is behind, in milliseconds. */
const busyMs = 100;

/** Creates a writer. */
export const createLineWriter = (options: LineWriterOptions = {}): LineWriter => {
    const fd = options.fd ?? standardOutput;
    const maxWaitingBytes = options.maxWaitingBytes ?? defaultMaxWaitingBytes;
    let waiting: string[] = [];
    let waitingBytes = 0;
    let droppedLines = 0;
    let timer: NodeJS.Timeout | undefined;
    let writing = false;
    let flushed: (() => void)[] = [];

    const settle = (): void => {
        for (const resolve of flushed) {
            resolve();
        }
        flushed = [];
    };

    const writeAll = (bytes: Buffer, from: number): void => {
        write(fd, bytes, from, bytes.length - from, null, (err, written) => {
            if (err?.code === "EAGAIN") {
                setTimeout(() => writeAll(bytes, from), busyMs);
                return;
            }
            if (err === null && from + written < bytes.length) {
                writeAll(bytes, from + written);
                return;
            }
            // A log that nobody takes any more (EPIPE) has no better place to be reported.
            writing = false;
            send();
        });
    };

    const send = (): void => {
        timer = undefined;
        if (writing) {
            return;
        }
        if (waiting.length === 0) {
            settle();
            return;
        }
        const bytes = Buffer.from(waiting.join(""));
        waiting = [];
        waitingBytes = 0;
        writing = true;
        writeAll(bytes, 0);
        if (droppedLines > 0) {
            const lines = droppedLines;
            droppedLines = 0;
            options.dropped?.(lines);
        }
    };

    return {
        write: line => {
            if (waitingBytes + line.length > maxWaitingBytes) {
                droppedLines += 1;
                return;
            }
            waiting.push(`${line}\n`);
            waitingBytes += line.length + 1;
            timer ??= setTimeout(send, gatherMs);
        },
        flush: () =>
            new Promise(resolve => {
                flushed.push(resolve);
                clearTimeout(timer);
                send();
            }),
    };
};
