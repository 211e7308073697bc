/** Searches bytes for several patterns at once, with one table look-up a byte. */

/** A pattern: per position, the bytes that may stand there. */
export type BytePattern = readonly ReadonlySet<number>[];

/** A compiled search. The states below `firstMatch` complete no pattern. */
export interface PatternSearch {
    /** The next state, by {@link byteCount} times the state plus the byte. */
    table: Uint16Array;
    /** The state before the first byte. */
    start: number;
    firstMatch: number;
    /** The indexes of the patterns that a state completes, in ascending order. */
    matches: readonly (readonly number[])[];
    /** Per state, the number of bytes of the first pattern that the latest bytes may begin. */
    firstPatternBytes: Uint16Array;
}

/** Number of values of a byte. */
export const byteCount = 256;

/** A place in a pattern: so many of its bytes have been read. */
interface Place {
    pattern: number;
    bytes: number;
}

/** Returns, per byte, the lowest byte that stands at the same positions of all patterns. */
const representativesOf = (patterns: readonly BytePattern[]): number[] => {
    const lowestByKey = new Map<string, number>();
    return Array.from({ length: byteCount }, (_, byte) => {
        const key = patterns.map(pattern => pattern.map(bytes => bytes.has(byte) ? "1" : "0").join("")).join(" ");
        const lowest = lowestByKey.get(key) ?? byte;
        lowestByKey.set(key, lowest);
        return lowest;
    });
};

/** Compiles `patterns`; a match may begin within another one. */
export const compilePatterns = (patterns: readonly BytePattern[]): PatternSearch => {
    const representatives = representativesOf(patterns);
    const found: { places: Place[]; next: number[]; }[] = [];
    const idByKey = new Map<string, number>();
    const stateOf = (places: Place[]): number => {
        const key = places.map(({ pattern, bytes }) => `${pattern}:${bytes}`).join(" ");
        const known = idByKey.get(key);
        if (known !== undefined) {
            return known;
        }
        idByKey.set(key, found.length);
        return found.push({ places, next: [] }) - 1;
    };
    const firstPlaces = patterns.map((_, pattern): Place => ({ pattern, bytes: 0 }));
    stateOf([]);
    for (let id = 0; id < found.length; id += 1) {
        const { places, next } = found[id]!;
        for (const [byte, representative] of representatives.entries()) {
            if (representative < byte) {
                next.push(next[representative]!);
                continue;
            }
            const reached = [...places, ...firstPlaces]
                .filter(({ pattern, bytes }) => patterns[pattern]![bytes]?.has(byte))
                .map(({ pattern, bytes }): Place => ({ pattern, bytes: bytes + 1 }));
            next.push(stateOf(reached));
        }
    }

    const matchesOf = ({ places }: { places: Place[]; }): number[] =>
        places.filter(({ pattern, bytes }) => bytes === patterns[pattern]!.length).map(({ pattern }) => pattern).sort((a, b) =>
            a - b
        );
    const order = found.map((_, id) => id);
    const isMatch = (id: number): boolean => matchesOf(found[id]!).length > 0;
    const sorted = [...order.filter(id => !isMatch(id)), ...order.filter(isMatch)];
    const place = new Map(sorted.map((id, index) => [id, index]));
    const firstPatternBytesOf = ({ places }: { places: Place[]; }): number =>
        Math.max(0, ...places.filter(({ pattern }) => pattern === 0).map(({ bytes }) => bytes));
    return {
        table: Uint16Array.from(sorted.flatMap(id => found[id]!.next.map(next => place.get(next)!))),
        start: place.get(0)!,
        firstMatch: order.filter(id => !isMatch(id)).length,
        matches: sorted.map(id => matchesOf(found[id]!)),
        firstPatternBytes: Uint16Array.from(sorted, id => firstPatternBytesOf(found[id]!)),
    };
};
