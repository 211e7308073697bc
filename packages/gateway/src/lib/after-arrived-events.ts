/** Timeouts that a busy process does not mistake for a silent peer. */

/**
 * Calls `callback` once the socket events that have arrived are handled. The event loop runs expired timers first, so a process that
 * got no processor time would otherwise find that a connection timed out although it was established in the meantime.
 */
export const afterArrivedEvents = (callback: () => void): void => {
    setImmediate(callback);
};
