/** Converts the outcome of a command to the output and exit code of the process. */
import type { CliOutcome } from "./cli.js";
import { exitCodes } from "./command-result.js";
import { ExitCode } from "./exit-code.js";

/** The output and exit code of the process. */
export interface ProcessOutput {
    code: ExitCode;
    /** Text for standard output. */
    out: string;
    /** Text for standard error. */
    err: string;
}

const toJson = (value: unknown): string => JSON.stringify(value, undefined, 2);

/** Renders an outcome. With --json, errors are also written to standard output, as `{"error": {...}}`. */
export const renderOutcome = (outcome: CliOutcome): ProcessOutput => {
    if (outcome.kind === "text") {
        return { code: ExitCode.Ok, out: outcome.text, err: "" };
    }
    const { json, result } = outcome;
    if (result.ok) {
        return { code: result.code, out: json ? toJson(result.data) : result.text, err: "" };
    }
    const code = exitCodes[result.err.kind];
    return json ? { code, out: toJson({ error: result.err }), err: "" } : { code, out: "", err: result.err.message };
};
