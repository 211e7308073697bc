/** Turns the outcome of a command into what is printed and the exit code. */
import type { CliOutcome } from "./cli.js";
import { exitCodes } from "./command-result.js";
import { ExitCode } from "./exit-code.js";

/** What the process writes before it ends. */
export interface Printed {
    code: ExitCode;
    /** For standard output. */
    out: string;
    /** For standard error. */
    err: string;
}

const toJson = (value: unknown): string => JSON.stringify(value, undefined, 2);

/** Renders an outcome. With --json errors too go to standard output, as `{"error": {...}}`. */
export const renderOutcome = (outcome: CliOutcome): Printed => {
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
