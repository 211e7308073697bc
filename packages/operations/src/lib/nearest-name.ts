/** Suggests the known name that someone may have meant. */
import { distance } from "fastest-levenshtein";

/** Names that differ in more than this share of their letters are not suggested. */
const maxDistanceShare = 0.5;
/** Names are compared up to this length, so that a hostile name costs little. */
const maxComparedLength = 64;

/** The known name nearest to `name`, or `undefined` when none is near. */
export const nearestName = (name: string, known: Iterable<string>): string | undefined => {
    const wanted = name.slice(0, maxComparedLength);
    let best: string | undefined;
    let bestDistance = Math.ceil(wanted.length * maxDistanceShare) + 1;
    for (const candidate of known) {
        const found = distance(wanted, candidate);
        if (found < bestDistance) {
            best = candidate;
            bestDistance = found;
        }
    }
    return best;
};

/** A sentence that suggests the nearest name, or an empty text. */
export const suggestName = (name: string, known: Iterable<string>): string => {
    const nearest = nearestName(name, known);
    return nearest === undefined ? "" : ` Did you mean '${nearest}'?`;
};
