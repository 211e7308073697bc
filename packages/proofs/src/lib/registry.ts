/** Every proof by name. */
import { proveConfig } from "./config.js";
import { proveFloor } from "./floor.js";
import type { Proof } from "./proof.js";
import { proveRecovery } from "./recovery.js";

/** The proofs that `npm run prove` knows. */
export const proofs: Readonly<Record<string, Proof>> = {
    "config": proveConfig,
    "floor": proveFloor,
    "recovery": proveRecovery,
};
