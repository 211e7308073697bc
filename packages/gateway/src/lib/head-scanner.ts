/** Finds the head of an answer within a body, in one pass over its bytes: no byte is examined again for another head. */
import { byteCount, compilePatterns } from "./byte-patterns.js";
import type { BytePattern, PatternSearch } from "./byte-patterns.js";

/** A head within a body. */
export interface FoundHead {
    /** Where its status line starts, in bytes. */
    start: number;
}

/** Looks for a head while a body is read. */
export interface HeadScanner {
    /** Takes the next bytes of the body. */
    push: (chunk: Buffer) => void;
    /** The first head so far that belongs to an answer. */
    found: () => FoundHead | undefined;
    /** Whether the bytes so far end within something that may be a head. */
    isWithinHead: () => boolean;
}

/** Options of {@link createHeadScanner}. */
export interface HeadScannerOptions {
    /** Names of headers, in lower case, of which the head of an answer has one unless it is interim. */
    answerHeaders: readonly string[];
    /** Longest distance between the start of a head and what shows that it belongs to an answer, in bytes. */
    maxHeadBytes: number;
}

const versionPrefix = "HTTP/1.";
const digits = "0123456789";
const allBytes = Array.from({ length: byteCount }, (_, byte) => byte);

const anyOf = (bytes: string): ReadonlySet<number> => new Set(Buffer.from(bytes, "latin1"));
const noneOf = (bytes: string): ReadonlySet<number> => new Set(allBytes.filter(byte => !anyOf(bytes).has(byte)));
const sequence = (text: string): BytePattern => Array.from(text, anyOf);
const statusLineStart = (statusClasses: string): BytePattern => [
    ...sequence(versionPrefix),
    ...["01", " ", statusClasses, digits, digits, " \r"].map(anyOf),
];

/** What the scanner looks for, by the index of the pattern; the patterns of header names follow. */
enum Pattern {
    StatusLineStart,
    InterimStart,
    LineEnd,
    EmptyLine,
    BareCr,
    BareLf,
}

const patterns: Readonly<Record<Pattern, BytePattern>> = {
    [Pattern.StatusLineStart]: statusLineStart(digits),
    [Pattern.InterimStart]: statusLineStart("1"),
    [Pattern.LineEnd]: sequence("\r\n"),
    [Pattern.EmptyLine]: sequence("\r\n\r\n"),
    [Pattern.BareCr]: [anyOf("\r"), noneOf("\n")],
    [Pattern.BareLf]: [noneOf("\r"), anyOf("\n")],
};
const statusLineStartBytes = patterns[Pattern.StatusLineStart].length;

const headerNamePattern = (name: string): BytePattern => [
    ...sequence("\r\n"),
    ...Array.from(name, letter => anyOf(letter.toLowerCase() + letter.toUpperCase())),
    anyOf(":"),
];

/** The compiled searches by the names of their headers; a host uses one list of names. */
const searches = new Map<string, PatternSearch>();

const searchFor = (names: readonly string[]): PatternSearch => {
    const key = names.join();
    const search = searches.get(key) ?? compilePatterns([...Object.values(patterns), ...names.map(headerNamePattern)]);
    searches.set(key, search);
    return search;
};

/** Creates a scanner for one body. */
export const createHeadScanner = ({ answerHeaders, maxHeadBytes }: HeadScannerOptions): HeadScanner => {
    const { table, start, firstMatch, matches, firstPatternBytes } = searchFor(answerHeaders);
    let state = start;
    let scannedBytes = 0;
    let found: FoundHead | undefined;
    /** The latest status line in the current line. */
    let openStart: number | undefined;
    let isOpenInterim = false;
    /** The latest status lines, of any status and of an interim one, that no empty line has followed yet. */
    let headStart: number | undefined;
    let interimStart: number | undefined;

    const isNear = (headAt: number | undefined, at: number): headAt is number =>
        headAt !== undefined && at - headAt <= maxHeadBytes;

    const dropOpenLine = (): void => {
        openStart = undefined;
    };

    const endHeaderName = (at: number): void => {
        if (isNear(headStart, at)) {
            found = { start: headStart };
        }
    };

    /** By pattern, what follows from a match whose last byte is at `at`. */
    const handlers: Readonly<Record<number, (at: number) => void>> = {
        [Pattern.StatusLineStart]: at => {
            openStart = at - statusLineStartBytes + 1;
            isOpenInterim = false;
        },
        [Pattern.InterimStart]: () => {
            isOpenInterim = true;
        },
        [Pattern.LineEnd]: () => {
            if (openStart !== undefined) {
                headStart = openStart;
                interimStart = isOpenInterim ? openStart : interimStart;
            }
            openStart = undefined;
        },
        [Pattern.EmptyLine]: at => {
            if (isNear(interimStart, at)) {
                found = { start: interimStart };
            }
            headStart = undefined;
            interimStart = undefined;
        },
        [Pattern.BareCr]: dropOpenLine,
        [Pattern.BareLf]: dropOpenLine,
    };

    const handleMatches = (matched: readonly number[], at: number): void => {
        for (const pattern of matched) {
            (handlers[pattern] ?? endHeaderName)(at);
        }
    };

    /** Whether the bytes so far have no influence on what is found in later ones. */
    const isIdle = (): boolean =>
        firstPatternBytes[state] === 0 && openStart === undefined && !isNear(headStart, scannedBytes)
        && !isNear(interimStart, scannedBytes);

    return {
        push: chunk => {
            // Most bodies name no protocol version: only what may be the start of its name has to be scanned.
            const first = isIdle() && !chunk.includes(versionPrefix) ? Math.max(0, chunk.length - versionPrefix.length + 1) : 0;
            const chunkStart = scannedBytes;
            scannedBytes += chunk.length;
            let current = state;
            for (let index = first; index < chunk.length && found === undefined; index += 1) {
                current = table[current * byteCount + chunk[index]!]!;
                if (current >= firstMatch) {
                    handleMatches(matches[current]!, chunkStart + index);
                }
            }
            state = current;
        },
        found: () => found,
        isWithinHead: () => isNear(headStart, scannedBytes) || isNear(interimStart, scannedBytes),
    };
};
