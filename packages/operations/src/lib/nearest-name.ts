/** Suggests the known name that is most similar to a mistyped one. */
import { distance } from "fastest-levenshtein";

/** Names whose edit distance is more than this fraction of their length are not suggested. */
const maxDistanceFraction = 0.5;
/** Only this many characters of a name are compared, so that a malicious input costs little. */
const maxComparedLength = 64;

/** Finds the known name with the smallest edit distance to `name`; `undefined` when none is similar. */
export const nearestName = (name: string, known: Iterable<string>): string | undefined => {
    const truncatedName = name.slice(0, maxComparedLength);
    let best: string | undefined;
    let bestDistance = Math.ceil(truncatedName.length * maxDistanceFraction) + 1;
    for (const candidate of known) {
        const candidateDistance = distance(truncatedName, candidate);
        if (candidateDistance < bestDistance) {
            best = candidate;
            bestDistance = candidateDistance;
        }
    }
    return best;
};

/** Returns a sentence that suggests the nearest name, with a leading space, or an empty text. */
export const suggestName = (name: string, known: Iterable<string>): string => {
    const nearest = nearestName(name, known);
    return nearest === undefined ? "" : ` Did you mean '${nearest}'?`;
};
