/** Registry of the measurements. */
import { measureAddedTime } from "./added-time.js";
import { measureClaims } from "./claims.js";
import { measureDetection } from "./detection.js";
import { measureGateway } from "./gateway.js";
import { measureKilledHosts } from "./killed-hosts.js";
import { measureLimits } from "./limits.js";
import type { Measurement } from "./measurement.js";
import { measureOverload } from "./overload.js";
import { measureRestart } from "./restart.js";
import { measureSlopes } from "./slopes.js";

/** Measurements of `npm run measure`, by name. */
export const measurements: Readonly<Record<string, Measurement>> = {
    "gateway": measureGateway,
    "limits": measureLimits,
    "killed-hosts": measureKilledHosts,
    "added-time": measureAddedTime,
    "slopes": measureSlopes,
    "detection": measureDetection,
    "overload": measureOverload,
    "claims": measureClaims,
    "restart": measureRestart,
};
