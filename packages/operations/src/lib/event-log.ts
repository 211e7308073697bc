/** Structured logs: one numbered event per line; `debug` enables informational events. */
import debug from "debug";
import { EventLevel, events } from "./events.js";
import type { EventName } from "./events.js";

export enum LogFormat {
    Text = "text",
    Json = "json",
}

/** Fields of an event; those that are `undefined` are omitted. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Options of {@link createEventLog}. */
export interface EventLogOptions {
    program: string;
    hostId: string;
    format: LogFormat;
    /** Writes one line without its line feed; to standard error by default. */
    write?: (line: string) => void;
    /** The wall clock, in milliseconds since 1970; `Date.now` by default. */
    now?: () => number;
    /** Writes informational events regardless of DEBUG, and omits the meaning, which docs/EVENTS.md lists by code. */
    alwaysLogInfo?: boolean;
}

/** Writes the events of one process. */
export interface EventLog {
    log(name: EventName, fields?: EventFields): void;
}

/** Creates a log that adds `boundFields` to each event, as in `withFields(log, { requestId })`. */
export const withFields = (log: EventLog, boundFields: EventFields): EventLog => ({
    log: (name, fields = {}) => log.log(name, { ...boundFields, ...fields }),
});

/** Longer field values are truncated, so that a malicious caller can't fill the log with one line. */
const maxFieldChars = 1000;

const clipFields = (fields: EventFields): EventFields =>
    Object.fromEntries(
        Object.entries(fields).map(([key, value]) => [
            key,
            typeof value === "string" && value.length > maxFieldChars ? `${value.slice(0, maxFieldChars)}...` : value,
        ]),
    );

const renderText = (fields: EventFields): string =>
    Object.entries(fields)
        .filter(([, value]) => value !== undefined)
        .map(([key, value]) => `${key}=${typeof value === "string" ? JSON.stringify(value) : String(value)}`)
        .join(" ");

/**
 * Creates the event log of one process.
 *
 * Warnings and errors are always written. Informational events are written when the DEBUG variable names the program,
 * as in `DEBUG=cassiapick:*`.
 */
export const createEventLog = (options: EventLogOptions): EventLog => {
    const logger = debug(`cassiapick:${options.program}`);
    const now = options.now ?? Date.now;
    const write = options.write ?? ((line: string) => process.stderr.write(`${line}\n`));

    const log = (name: EventName, unclippedFields: EventFields = {}): void => {
        const definition = events[name];
        if (definition.level === EventLevel.Info && !logger.enabled && options.alwaysLogInfo !== true) {
            return;
        }
        const fields = clipFields(unclippedFields);
        const { code, level, meaning } = definition;
        const time = new Date(now()).toISOString();
        if (options.format === LogFormat.Json) {
            write(
                JSON.stringify({
                    time,
                    code,
                    level,
                    event: name,
                    program: options.program,
                    hostId: options.hostId,
                    meaning: options.alwaysLogInfo === true ? undefined : meaning,
                    ...fields,
                }),
            );
            return;
        }
        write(
            `${time} ${code} ${level} ${options.program} ${options.hostId} ${name} ${renderText(fields)}`
                .trimEnd(),
        );
    };

    return { log };
};
