/** Service-level objectives: the share of requests to a destination that must be good. */
import { readYamlText, suggestName } from "@cassiapick/operations";
import { z } from "zod";

/** The service-level objective of a destination. */
export interface Objective {
    /** The share of requests that must be good, above 0 and below 1. */
    target: number;
    /** Whether a request that was completed late counts as bad. */
    slowIsBad: boolean;
}

/** The objectives of all destinations. */
export interface Objectives {
    /** Applies to every destination without an entry of its own. */
    defaultObjective: Objective;
    byDestination: Map<string, Objective>;
}

export type ObjectivesResult = { ok: true; objectives: Objectives; } | { ok: false; message: string; };

const maxObjectivesChars = 4 * 1024 * 1024;
const targetErr = "Expected a share above 0 and below 1, as in 0.999";

/** Schema of a target, also used for the flag. */
export const targetSchema = z.number({ error: targetErr }).gt(0, { error: targetErr }).lt(1, { error: targetErr });

const rowSchema = z.strictObject({
    destination: z.string({ error: "Expected the destination of a pool" }),
    target: targetSchema.optional(),
    slowIsBad: z.boolean({ error: "Expected true or false" }).optional(),
}, { error: "Expected a row with 'destination'" });

const fileSchema = z.strictObject({
    format: z.literal(1, { error: "Expected 'format: 1'" }),
    objectives: z.array(rowSchema, { error: "Expected a list of objectives" }),
}, { error: "Expected the fields 'format' and 'objectives'" });

const describeIssue = (issue: z.core.$ZodIssue): string => {
    if (issue.code !== "unrecognized_keys") {
        return `${issue.message}.`;
    }
    const knownFields = Object.keys(issue.path.length === 0 ? fileSchema.shape : rowSchema.shape);
    return issue.keys.map(key => `The field '${key}' is not known.${suggestName(key, knownFields)}`).join(" ");
};

/** Parses an objectives file; fields that a row omits come from `defaultObjective`. Never throws. */
export const parseObjectives = (text: string, defaultObjective: Objective): ObjectivesResult => {
    if (text.length > maxObjectivesChars) {
        return { ok: false, message: `1:1: The file is longer than ${maxObjectivesChars} characters. Remove rows.` };
    }
    const read = readYamlText(text);
    if (!read.ok) {
        return {
            ok: false,
            message: `${read.position.line}:${read.position.column}: The file is not valid YAML: ${read.message}`,
        };
    }
    const parsed = fileSchema.safeParse(read.yaml.value);
    if (!parsed.success) {
        const lines = parsed.error.issues.map(issue => {
            const { line, column } = read.yaml.positionOf(issue.path);
            return `${line}:${column}: ${describeIssue(issue)}`;
        });
        return { ok: false, message: lines.join("\n") };
    }
    const byDestination = new Map<string, Objective>();
    for (const [index, row] of parsed.data.objectives.entries()) {
        if (byDestination.has(row.destination)) {
            const { line, column } = read.yaml.positionOf(["objectives", index]);
            return { ok: false, message: `${line}:${column}: '${row.destination}' is listed twice. Remove one of the rows.` };
        }
        byDestination.set(row.destination, {
            target: row.target ?? defaultObjective.target,
            slowIsBad: row.slowIsBad ?? defaultObjective.slowIsBad,
        });
    }
    return { ok: true, objectives: { defaultObjective, byDestination } };
};
