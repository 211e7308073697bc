/** Every measurement by name. */
import { measureClaims } from "./claims.js";
import type { Measurement } from "./measurement.js";

/** The measurements that `npm run measure` knows. */
export const measurements: Readonly<Record<string, Measurement>> = {
    "claims": measureClaims,
};
