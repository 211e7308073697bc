/**
 * Finds a second answer in a body whose end is marked only by the close of the connection. Some servers answer twice, and an answer
 * without a length does not tell where its body ends and the second answer begins.
 */
import { createHeadScanner } from "./head-scanner.js";
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

const statusPattern = /^HTTP\/1\.[01] (?<status>\d{3})/u;
const lineEnd = "\r\n";
const headEnd = lineEnd + lineEnd;
/** A longer head is taken for a part of the body, in bytes. */
const maxHeadBytes = 16 * 1024;

/** Decodes a head that starts with a status line. */
const parseHead = (text: string): FirstHead => {
    const [statusLine = "", ...fields] = text.split(lineEnd);
    const headers = fields.flatMap(field => {
        const colon = field.indexOf(":");
        return colon > 0 ? [field.slice(0, colon).trim(), field.slice(colon + 1).trim()] : [];
    });
    return { status: Number(statusPattern.exec(statusLine)?.groups?.status), headers };
};

/**
 * Creates a finder for the answer with the head `first`. A head in the body belongs to a second answer if it has one of the headers
 * that servers add to their answers, `answerHeaders`, or is interim; the heads in documents about other systems have neither.
 */
export const createRepeatedAnswerFinder = (first: FirstHead, answerHeaders: readonly string[]): RepeatedAnswerFinder => {
    const scanner = createHeadScanner({ answerHeaders, maxHeadBytes });

    return {
        push: scanner.push,
        hasSecond: () => scanner.found() !== undefined || scanner.isWithinHead(),
        firstOf: body => {
            const start = scanner.found()?.start;
            const end = start === undefined ? -1 : body.indexOf(headEnd, start);
            if (start === undefined || end === -1) {
                return undefined;
            }
            const second = parseHead(body.toString("latin1", start, end));
            // Chunks would have to be decoded first.
            if (headerValue(second.headers, "transfer-encoding") !== undefined) {
                return undefined;
            }
            const firstBody = body.subarray(0, start);
            const secondBody = body.subarray(end + headEnd.length);
            const length = headerValue(second.headers, "content-length");
            const isWhole = length === undefined || Number(length) === secondBody.length;
            const hasSameHead = second.status === first.status
                && answerHeaders.every(name => headerValue(second.headers, name) === headerValue(first.headers, name));
            return isWhole && hasSameHead && firstBody.equals(secondBody) ? firstBody : undefined;
        },
    };
};
