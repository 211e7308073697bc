/** Schemas and size limits of the two tables files. */
import { DetectionMode } from "@cassiapick/core";
import { z } from "zod";

/** The format version that this program reads and writes. */
export const tablesFormat = 1;
/** Maximum length of a tables file, in characters. */
export const maxTablesChars = 16 * 1024 * 1024;
/** Maximum number of rows of the routes table. */
export const maxRoutes = 100_000;
/** Maximum number of rows of the pools table. */
export const maxPools = 20_000;
const maxNameLength = 63;
const maxTimeoutMs = 600_000;
const defaultTimeoutMs = 10_000;
const defaultFloorShare = 0.5;

const namePattern = new RegExp(`^[a-z0-9][a-z0-9-]{0,${maxNameLength - 1}}$`);
const nameErr = `Expected up to ${maxNameLength} lower-case letters, digits and hyphens, starting with a letter or digit`;
const name = z.string({ error: issue => issue.input === undefined ? "The field is missing" : nameErr })
    .regex(namePattern, { error: nameErr });

const timeoutErr = `Expected a time in milliseconds, an integer from 1 to ${maxTimeoutMs}`;
const floorErr = "Expected a share from 0 to 1, as in 0.5";
const detectionErr = `Expected one of: ${Object.values(DetectionMode).join(", ")}`;
const formatErr = `Expected 'format: ${tablesFormat}', the format that this version reads`;

const routeSchema = z.strictObject({
    brand: name,
    kind: name,
    destination: name,
    idempotent: z.boolean({ error: "Expected true or false" }).optional(),
    timeoutMs: z.int({ error: timeoutErr }).min(1, { error: timeoutErr }).max(maxTimeoutMs, { error: timeoutErr })
        .default(defaultTimeoutMs),
}, { error: "Expected a row with 'brand', 'kind' and 'destination'" });

const poolSchema = z.strictObject({
    destination: name,
    service: name,
    floorShare: z.number({ error: floorErr }).min(0, { error: floorErr }).max(1, { error: floorErr }).default(defaultFloorShare),
    detection: z.enum(DetectionMode, { error: detectionErr }).default(DetectionMode.Prompt),
}, { error: "Expected a row with 'destination' and 'service'" });

const format = z.literal(tablesFormat, { error: formatErr });

export const routesSchema = z.strictObject({
    format,
    routes: z.array(routeSchema, { error: "Expected a list of routes" })
        .max(maxRoutes, { error: `Expected at most ${maxRoutes} routes` }),
}, { error: "Expected the fields 'format' and 'routes'" });

export const poolsSchema = z.strictObject({
    format,
    pools: z.array(poolSchema, { error: "Expected a list of pools" })
        .max(maxPools, { error: `Expected at most ${maxPools} pools` }),
}, { error: "Expected the fields 'format' and 'pools'" });

/** Returns the fields that are allowed in the map at a path of a file. */
export const knownFields = (file: "routes" | "pools", path: readonly PropertyKey[]): string[] => {
    if (path.length === 0) {
        return Object.keys(file === "routes" ? routesSchema.shape : poolsSchema.shape);
    }
    return Object.keys(file === "routes" ? routeSchema.shape : poolSchema.shape);
};
