/** Every measurement by name. */
import type { Measurement } from "./measurement.js";
import { measureOverload } from "./overload.js";

/** The measurements that `npm run measure` knows. */
export const measurements: Readonly<Record<string, Measurement>> = {
    "overload": measureOverload,
};
