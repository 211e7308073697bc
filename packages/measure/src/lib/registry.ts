/** Every measurement by name. */
import { measureClaims } from "./claims.js";
import type { Measurement } from "./measurement.js";
import { measureOverload } from "./overload.js";

/** The measurements that `npm run measure` knows. */
export const measurements: Readonly<Record<string, Measurement>> = {
    "overload": measureOverload,
    "claims": measureClaims,
};
