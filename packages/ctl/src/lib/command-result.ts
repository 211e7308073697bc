/** The result of a command: a text for the terminal and data for scripts, or an error that names its remedy. */
import { ExitCode } from "./exit-code.js";

/** Why a command failed. */
export type CommandErr =
    | { kind: "usage"; message: string; }
    | { kind: "tables-invalid"; message: string; places: unknown[]; }
    | { kind: "conflict"; message: string; version: string; winningChangeId: string; }
    | { kind: "refused"; message: string; }
    | { kind: "removal"; message: string; }
    | { kind: "unreachable"; message: string; }
    /** No reply to the change arrived, so its outcome is unknown. */
    | { kind: "change-unknown"; message: string; changeId: string; expectedVersion: string; };

export type CommandResult =
    | { ok: true; text: string; data: unknown; code: ExitCode; }
    | { ok: false; err: CommandErr; };

/** The exit code of each kind of error. */
export const exitCodes: Record<CommandErr["kind"], ExitCode> = {
    "usage": ExitCode.Usage,
    "tables-invalid": ExitCode.Usage,
    "conflict": ExitCode.Refused,
    "refused": ExitCode.Refused,
    "removal": ExitCode.Refused,
    "unreachable": ExitCode.Unreachable,
    "change-unknown": ExitCode.Unreachable,
};

/** Creates the result of a command that succeeded. */
export const succeed = (text: string, data: unknown, code = ExitCode.Ok): CommandResult => ({ ok: true, text, data, code });

/** Creates the result of a command that failed. */
export const failWith = (err: CommandErr): CommandResult => ({ ok: false, err });
