/** The exit codes of `cassiapick`, which stay stable because scripts rely on them. */

export enum ExitCode {
    Ok = 0,
    /** The change was refused, or conflicted with another change. */
    Refused = 1,
    /** Invalid arguments, or an invalid file. */
    Usage = 2,
    /** No host gave an answer. */
    Unreachable = 3,
    /** The timeout expired before the version was in force on all entry hosts. */
    NotYet = 4,
    /** The answer is incomplete, because some hosts could not be asked. */
    Partial = 5,
}
