/**
 * Outcomes for other availability zones without names of fields. Such a message mostly tells of one failure, so what is around it is most of
 * its bytes, and it goes to each other zone.
 */
import type { ReportRow } from "./fleet-messages.js";

/** The first element; the short forms of the consensus use the numbers below it. */
const outcomesForm = 4;

/** One failure of a server is its number alone. */
type CompactOutcome = number | [number: number, failures: number, hangs: number];

/** Outcomes in the short form; a message with one failure of one server, as most are, is the number of the server. */
export type CompactOutcomes = number | [form: typeof outcomesForm, ...outcomes: CompactOutcome[]];

const toCompactOutcome = ([number, , failures, , , hangs = 0]: ReportRow): CompactOutcome =>
    failures === 1 && hangs === 0 ? number : [number, failures, hangs];

const fromCompactOutcome = (outcome: CompactOutcome): ReportRow => {
    const [number, failures, hangs] = typeof outcome === "number" ? [outcome, 1, 0] : outcome;
    return hangs === 0 ? [number, 0, failures, 0] : [number, 0, failures, 0, 0, hangs];
};

/** Returns the short form of reports; it leaves out successes and load, which concern no other zone. */
export const toCompactOutcomes = (rows: readonly ReportRow[]): CompactOutcomes => {
    const outcomes = rows.map(toCompactOutcome);
    const [only, ...others] = outcomes;
    return typeof only === "number" && others.length === 0 ? only : [outcomesForm, ...outcomes];
};

/** Returns the reports of a short form. */
export const fromCompactOutcomes = (message: CompactOutcomes): ReportRow[] => {
    const [, ...outcomes] = typeof message === "number" ? [outcomesForm, message] : message;
    return outcomes.map(fromCompactOutcome);
};

/** Whether a decoded frame is the short form of outcomes. */
export const isCompactOutcomes = (value: unknown): value is CompactOutcomes =>
    typeof value === "number" || (Array.isArray(value) && value[0] === outcomesForm);
