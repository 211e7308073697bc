/** Parses YAML and records the line and column of every value. */
import { isMap, isNode, isScalar, LineCounter, parseDocument } from "yaml";
import type { Document } from "yaml";

/** A position in a text; line and column start at 1. */
export interface TextPosition {
    line: number;
    column: number;
}

/** A parsed YAML text. */
export interface YamlText {
    value: unknown;
    /** Returns the position of the value at a path, or of its nearest existing parent. */
    positionOf(path: readonly PropertyKey[]): TextPosition;
    /** Returns the position of a key of the map at a path. */
    positionOfKey(path: readonly PropertyKey[], key: string): TextPosition;
}

export type YamlResult = { ok: true; yaml: YamlText; } | { ok: false; position: TextPosition; message: string; };

const textStart: TextPosition = { line: 1, column: 1 };

const createPositionLookup = (document: Document, lineCounter: LineCounter): Pick<YamlText, "positionOf" | "positionOfKey"> => {
    const positionAt = (offset: number | undefined): TextPosition => {
        if (offset === undefined) {
            return textStart;
        }
        const { line, col } = lineCounter.linePos(offset);
        return { line, column: col };
    };

    const positionOf = (path: readonly PropertyKey[]): TextPosition => {
        for (let length = path.length; length >= 0; length -= 1) {
            const node = length === 0 ? document.contents : document.getIn(path.slice(0, length), true);
            if (isNode(node) && node.range) {
                return positionAt(node.range[0]);
            }
        }
        return textStart;
    };

    const positionOfKey = (path: readonly PropertyKey[], key: string): TextPosition => {
        const map = path.length === 0 ? document.contents : document.getIn(path, true);
        const pair = isMap(map) ? map.items.find(item => isScalar(item.key) && item.key.value === key) : undefined;
        return isScalar(pair?.key) && pair.key.range ? positionAt(pair.key.range[0]) : positionOf(path);
    };

    return { positionOf, positionOfKey };
};

/** Parses a YAML text; never throws. */
export const readYamlText = (text: string): YamlResult => {
    const lineCounter = new LineCounter();
    try {
        const document = parseDocument(text, { lineCounter, prettyErrors: false });
        const err = document.errors[0];
        if (err !== undefined) {
            const { line, col } = lineCounter.linePos(err.pos[0]);
            return { ok: false, position: { line, column: col }, message: err.message };
        }
        return { ok: true, yaml: { value: document.toJS() as unknown, ...createPositionLookup(document, lineCounter) } };
    }
    catch (err) {
        return { ok: false, position: textStart, message: (err as Error).message };
    }
};
