/** The two tables as YAML files. */
import { DetectionMode } from "@cassiapick/core";
import type { Pool, Route, Tables } from "@cassiapick/core";
import { parse } from "yaml";
import { z } from "zod";

/** A place in a tables file that is wrong. */
export interface TablesErr {
    kind: "tables-invalid";
    /** Where, as in "routes[3].destination". */
    place: string;
    message: string;
}

export type TablesResult = { ok: true; tables: Tables; } | { ok: false; errs: TablesErr[]; };

const maxTimeoutMs = 600_000;
const name = z.string().regex(/^[a-z0-9][a-z0-9-]*$/, { error: "expected lower-case letters, digits and hyphens" });

const routeSchema = z.strictObject({
    brand: name,
    kind: name,
    destination: name,
    idempotent: z.boolean().optional(),
    timeoutMs: z.int().min(1).max(maxTimeoutMs).default(10_000),
});

const poolSchema = z.strictObject({
    destination: name,
    service: name,
    floorShare: z.number().min(0).max(1).default(0.5),
    detection: z.enum(DetectionMode).default(DetectionMode.Prompt),
});

const routesSchema = z.strictObject({ format: z.literal(1), routes: z.array(routeSchema) });
const poolsSchema = z.strictObject({ format: z.literal(1), pools: z.array(poolSchema) });

const placeOf = (path: PropertyKey[]): string =>
    path.map(part => typeof part === "number" ? `[${part}]` : `.${String(part)}`).join("").replace(/^\./, "");

const schemaErrs = (file: string, error: z.ZodError): TablesErr[] =>
    error.issues.map(issue => ({
        kind: "tables-invalid",
        place: `${file}: ${placeOf(issue.path)}`,
        message: `${issue.message}. Correct it and apply again.`,
    }));

const readYaml = (file: string, text: string): { ok: true; value: unknown; } | { ok: false; errs: TablesErr[]; } => {
    try {
        return { ok: true, value: parse(text) };
    }
    catch (err) {
        return {
            ok: false,
            errs: [{ kind: "tables-invalid", place: file, message: `The file is not YAML: ${(err as Error).message}` }],
        };
    }
};

const referenceErrs = (routes: Route[], pools: Pool[]): TablesErr[] => {
    const destinations = new Set(pools.map(pool => pool.destination));
    return routes.flatMap((route, index) =>
        destinations.has(route.destination) ? [] : [{
            kind: "tables-invalid" as const,
            place: `routes[${index}].destination`,
            message: `No pool is named '${route.destination}'. Add it to the pools table or name one of: ${
                [...destinations].join(", ")
            }.`,
        }]
    );
};

/** Parses and checks the two tables together. */
export const parseTables = (routesText: string, poolsText: string): TablesResult => {
    const routesYaml = readYaml("routes", routesText);
    const poolsYaml = readYaml("pools", poolsText);
    if (!routesYaml.ok || !poolsYaml.ok) {
        return { ok: false, errs: [...(routesYaml.ok ? [] : routesYaml.errs), ...(poolsYaml.ok ? [] : poolsYaml.errs)] };
    }
    const routes = routesSchema.safeParse(routesYaml.value);
    const pools = poolsSchema.safeParse(poolsYaml.value);
    if (!routes.success || !pools.success) {
        return {
            ok: false,
            errs: [
                ...(routes.success ? [] : schemaErrs("routes", routes.error)),
                ...(pools.success ? [] : schemaErrs("pools", pools.error)),
            ],
        };
    }
    const errs = referenceErrs(routes.data.routes, pools.data.pools);
    return errs.length > 0 ? { ok: false, errs } : { ok: true, tables: { routes: routes.data.routes, pools: pools.data.pools } };
};
