/** Writes log lines asynchronously. Lines that exceed the buffer limit are dropped and counted, so that logging never blocks. */
import { write } from "node:fs";

/** Options of {@link createLineWriter}. */
export interface LineWriterOptions {
    /** File descriptor; standard output by default. */
    fd?: number;
    /** Size limit of the buffer; lines that don't fit are dropped. */
    maxBufferedBytes?: number;
    /** Called with the number of dropped lines when the next buffer is written. */
    onDropped?: (lines: number) => void;
}

/** Writes whole lines. */
export interface LineWriter {
    write(line: string): void;
    /** Resolves when all buffered lines have been written. */
    flush(): Promise<void>;
}

const standardOutput = 1;
const defaultMaxBufferedBytes = 256 * 1024;
/** Lines are buffered for this time, in milliseconds, so that a burst needs one write. */
const batchDelayMs = 100;
/** Delay before a write is retried when a pipe is full (EAGAIN), in milliseconds. */
const retryDelayMs = 100;

export const createLineWriter = (options: LineWriterOptions = {}): LineWriter => {
    const fd = options.fd ?? standardOutput;
    const maxBufferedBytes = options.maxBufferedBytes ?? defaultMaxBufferedBytes;
    let bufferedLines: string[] = [];
    let bufferedBytes = 0;
    let droppedLines = 0;
    let timer: NodeJS.Timeout | undefined;
    let isWriting = false;
    let flushCallbacks: (() => void)[] = [];

    const resolveFlushes = (): void => {
        for (const resolve of flushCallbacks) {
            resolve();
        }
        flushCallbacks = [];
    };

    const writeFrom = (bytes: Buffer, offset: number): void => {
        write(fd, bytes, offset, bytes.length - offset, null, (err, written) => {
            if (err?.code === "EAGAIN") {
                setTimeout(() => writeFrom(bytes, offset), retryDelayMs);
                return;
            }
            if (err === null && offset + written < bytes.length) {
                writeFrom(bytes, offset + written);
                return;
            }
            // Other errors, such as EPIPE from a closed log, are ignored: there is no other place to report them.
            isWriting = false;
            writeBuffered();
        });
    };

    const writeBuffered = (): void => {
        timer = undefined;
        if (isWriting) {
            return;
        }
        if (bufferedLines.length === 0) {
            resolveFlushes();
            return;
        }
        const bytes = Buffer.from(bufferedLines.join(""));
        bufferedLines = [];
        bufferedBytes = 0;
        isWriting = true;
        writeFrom(bytes, 0);
        if (droppedLines > 0) {
            const droppedNow = droppedLines;
            droppedLines = 0;
            options.onDropped?.(droppedNow);
        }
    };

    return {
        write: line => {
            if (bufferedBytes + line.length > maxBufferedBytes) {
                droppedLines += 1;
                return;
            }
            bufferedLines.push(`${line}\n`);
            bufferedBytes += line.length + 1;
            timer ??= setTimeout(writeBuffered, batchDelayMs);
        },
        flush: () =>
            new Promise(resolve => {
                flushCallbacks.push(resolve);
                clearTimeout(timer);
                writeBuffered();
            }),
    };
};
