/** Lists every proof by the name that it has on the command line. */
import { proveAtMostOnce } from "./at-most-once.js";
import { proveConfig } from "./config.js";
import { proveDetection } from "./detection.js";
import { proveFloor } from "./floor.js";
import { proveLeaving } from "./leaving.js";
import { proveMembership } from "./membership.js";
import { proveOverload } from "./overload.js";
import type { Proof } from "./proof.js";
import { proveRecovery } from "./recovery.js";
import { proveTruthfulRefusal } from "./truthful-refusal.js";
import { proveWholeAnswer } from "./whole-answer.js";

/** The proofs that `npm run prove` can run, by name. */
export const proofs: Readonly<Record<string, Proof>> = {
    "leaving": proveLeaving,
    "membership": proveMembership,
    "whole-answer": proveWholeAnswer,
    "config": proveConfig,
    "at-most-once": proveAtMostOnce,
    "detection": proveDetection,
    "floor": proveFloor,
    "overload": proveOverload,
    "truthful-refusal": proveTruthfulRefusal,
    "recovery": proveRecovery,
};
