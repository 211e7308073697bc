/** Reads YAML and remembers the line and column of every value. */
import { isMap, isNode, isScalar, LineCounter, parseDocument } from "yaml";
import type { Document } from "yaml";

/** A place in a text; both numbers start at 1. */
export interface TextPlace {
    line: number;
    column: number;
}

/** A YAML text that was read. */
export interface YamlText {
    value: unknown;
    /** Where the value at a path stands, or its nearest parent when there is none. */
    placeOf(path: readonly PropertyKey[]): TextPlace;
    /** Where a key of the map at a path stands. */
    placeOfKey(path: readonly PropertyKey[], key: string): TextPlace;
}

export type YamlResult = { ok: true; yaml: YamlText; } | { ok: false; place: TextPlace; message: string; };

const start: TextPlace = { line: 1, column: 1 };

const createPlaces = (document: Document, counter: LineCounter): Pick<YamlText, "placeOf" | "placeOfKey"> => {
    const placeAt = (offset: number | undefined): TextPlace => {
        if (offset === undefined) {
            return start;
        }
        const { line, col } = counter.linePos(offset);
        return { line, column: col };
    };

    const placeOf = (path: readonly PropertyKey[]): TextPlace => {
        for (let length = path.length; length >= 0; length -= 1) {
            const node = length === 0 ? document.contents : document.getIn(path.slice(0, length), true);
            if (isNode(node) && node.range) {
                return placeAt(node.range[0]);
            }
        }
        return start;
    };

    const placeOfKey = (path: readonly PropertyKey[], key: string): TextPlace => {
        const map = path.length === 0 ? document.contents : document.getIn(path, true);
        const pair = isMap(map) ? map.items.find(item => isScalar(item.key) && item.key.value === key) : undefined;
        return isScalar(pair?.key) && pair.key.range ? placeAt(pair.key.range[0]) : placeOf(path);
    };

    return { placeOf, placeOfKey };
};

/** Reads a YAML text; never throws. */
export const readYamlText = (text: string): YamlResult => {
    const counter = new LineCounter();
    try {
        const document = parseDocument(text, { lineCounter: counter, prettyErrors: false });
        const err = document.errors[0];
        if (err !== undefined) {
            const { line, col } = counter.linePos(err.pos[0]);
            return { ok: false, place: { line, column: col }, message: err.message };
        }
        return { ok: true, yaml: { value: document.toJS() as unknown, ...createPlaces(document, counter) } };
    }
    catch (err) {
        return { ok: false, place: start, message: (err as Error).message };
    }
};
