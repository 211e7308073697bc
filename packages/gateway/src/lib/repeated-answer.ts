/**
 * Finds a second answer in a body whose end is marked only by the close of the connection. Some servers answer twice, and an answer
 * without a length does not tell where its body ends and the second answer begins.
 */
import { headerValue } from "./headers.js";
import type { RawHeaders } from "./headers.js";

/** The head of the first answer. */
export interface FirstHead {
    status: number;
    headers: RawHeaders;
}

/** Looks for a second answer while a body is read. */
export interface RepeatedAnswerFinder {
    /** Takes the next bytes of the body. */
    push(chunk: Buffer): void;
    /** Whether the bytes so far hold the start of a second answer, or end within something that may be one. */
    hasSecond(): boolean;
    /** Returns what precedes the second answer in `body` if that repeats the first one to the last byte; `undefined` otherwise. */
    firstOf(body: Buffer): Buffer | undefined;
}

const versionPrefix = "HTTP/1.";
const statusLineStartPattern = /^HTTP\/1\.[01] [1-5]\d\d/u;
const statusLineStartBytes = "HTTP/1.1 200".length;
const statusLinePattern = /^HTTP\/1\.[01] (?<status>[1-5]\d\d)(?: [^\r\n]*)?$/u;
const lineEnd = "\r\n";
const headEnd = lineEnd + lineEnd;
/** A longer head is taken for a part of the body, in bytes. */
const maxHeadBytes = 16 * 1024;
/** Heads with a lower status are interim. */
const minFinalStatus = 200;

interface SecondHead extends FirstHead {
    start: number;
    bodyStart: number;
}

/** Decodes the lines of a head that starts with a status line; `undefined` if there is none. */
const parseHead = (text: string): FirstHead | undefined => {
    const [statusLine = "", ...fields] = text.split(lineEnd);
    const status = statusLinePattern.exec(statusLine)?.groups?.status;
    const headers = fields.flatMap(field => {
        const colon = field.indexOf(":");
        return colon > 0 ? [field.slice(0, colon).trim(), field.slice(colon + 1).trim()] : [];
    });
    return status === undefined ? undefined : { status: Number(status), headers };
};

/**
 * Creates a finder for the answer with the head `first`. A head in the body belongs to a second answer if it has one of the headers
 * that servers add to their answers, `answerHeaders`, or is interim; the heads in documents about other systems have neither.
 */
export const createRepeatedAnswerFinder = (first: FirstHead, answerHeaders: readonly string[]): RepeatedAnswerFinder => {
    /** The bytes that may begin a head, and their place in the body. */
    let pending: Buffer = Buffer.alloc(0);
    let pendingStart = 0;
    let second: SecondHead | undefined;

    const isAnswer = ({ status, headers }: FirstHead): boolean =>
        status < minFinalStatus || answerHeaders.some(name => headerValue(headers, name) !== undefined);

    const dropPending = (bytes: number): void => {
        pending = pending.subarray(bytes);
        pendingStart += bytes;
    };

    /** Looks at the first head in the pending bytes; returns whether there may be another one behind it. */
    const examine = (): boolean => {
        const start = pending.indexOf(versionPrefix);
        if (start === -1) {
            dropPending(Math.max(0, pending.length - versionPrefix.length + 1));
            return false;
        }
        dropPending(start);
        const startText = pending.toString("latin1", 0, statusLineStartBytes);
        if (startText.length === statusLineStartBytes && !statusLineStartPattern.test(startText)) {
            dropPending(versionPrefix.length);
            return true;
        }
        const end = pending.subarray(0, maxHeadBytes).indexOf(headEnd);
        if (end === -1 && pending.length < maxHeadBytes) {
            return false;
        }
        const head = end === -1 ? undefined : parseHead(pending.toString("latin1", 0, end));
        if (head !== undefined && isAnswer(head)) {
            second = { ...head, start: pendingStart, bodyStart: pendingStart + end + headEnd.length };
            return false;
        }
        dropPending(versionPrefix.length);
        return true;
    };

    const isWithinHead = (): boolean => {
        const text = pending.toString("latin1");
        return text.includes(lineEnd) && parseHead(text) !== undefined;
    };

    return {
        push: chunk => {
            if (second !== undefined) {
                return;
            }
            pending = Buffer.concat([pending, chunk]);
            let hasMore = true;
            while (hasMore) {
                hasMore = examine();
            }
        },
        hasSecond: () => second !== undefined || isWithinHead(),
        firstOf: body => {
            // Chunks would have to be decoded first.
            if (second === undefined || headerValue(second.headers, "transfer-encoding") !== undefined) {
                return undefined;
            }
            const firstBody = body.subarray(0, second.start);
            const secondBody = body.subarray(second.bodyStart);
            const length = headerValue(second.headers, "content-length");
            const isWhole = length === undefined || Number(length) === secondBody.length;
            const hasSameHead = second.status === first.status
                && answerHeaders.every(name => headerValue(second!.headers, name) === headerValue(first.headers, name));
            return isWhole && hasSameHead && firstBody.equals(secondBody) ? firstBody : undefined;
        },
    };
};
