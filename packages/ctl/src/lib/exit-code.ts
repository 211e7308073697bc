/** The exit codes of `cassiapick`. They are stable: scripts may rely on them. */

export enum ExitCode {
    Ok = 0,
    /** The change was refused, or lost a race against another one. */
    Refused = 1,
    /** Wrong arguments, or a file that does not pass its check. */
    Usage = 2,
    /** No host that could answer was reached. */
    Unreachable = 3,
    /** The wait ended before the version was in force everywhere. */
    NotYet = 4,
    /** The answer is incomplete, because some hosts could not be asked. */
    Partial = 5,
}
