/** Every measurement by name. */
import { measureClaims } from "./claims.js";
import type { Measurement } from "./measurement.js";
import { measureOverload } from "./overload.js";
import { measureSlopes } from "./slopes.js";
import { measureRestart } from "./restart.js";

/** The measurements that `npm run measure` knows. */
export const measurements: Readonly<Record<string, Measurement>> = {
    "slopes": measureSlopes,
    "overload": measureOverload,
    "claims": measureClaims,
    "restart": measureRestart,
};
