/** The statuses of answers. */

const minFinalStatus = 200;
const maxStatus = 599;

/**
 * Whether a status may be that of a final answer (RFC 9110, section 15). An interim status announces an answer, and 101 hands the
 * connection over to a protocol that was not asked for; any other status has no meaning.
 */
export const isFinalStatus = (status: number | undefined): status is number =>
    status !== undefined && Number.isInteger(status) && status >= minFinalStatus && status <= maxStatus;
