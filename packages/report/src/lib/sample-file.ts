/** Stores samples between runs, so that the counts of a process are still available after it restarts. */
import { burnSchema } from "@cassiapick/operations";
import { randomUUID } from "node:crypto";
import { existsSync, readFileSync, renameSync, writeFileSync } from "node:fs";
import { z } from "zod";
import type { HostSample } from "./samples.js";

const sampleSchema = z.object({
    hostId: z.string(),
    incarnation: z.number(),
    hostNow: z.number(),
    takenAt: z.number(),
    burn: burnSchema,
});

const fileSchema = z.object({ format: z.literal(1), samples: z.array(sampleSchema) });

export type SampleFileResult = { ok: true; samples: HostSample[]; } | { ok: false; message: string; };

/** Reads the samples of earlier runs; none when the file does not exist. */
export const readSamples = (path: string): SampleFileResult => {
    if (!existsSync(path)) {
        return { ok: true, samples: [] };
    }
    try {
        const parsed = fileSchema.safeParse(JSON.parse(readFileSync(path, "utf8")));
        if (parsed.success) {
            return { ok: true, samples: parsed.data.samples };
        }
    }
    catch {
        // Not JSON: returns the same error as for JSON of another shape.
    }
    return {
        ok: false,
        message: `'${path}' holds no samples in the format of this version. Remove it, or set another file with --keep.`,
    };
};

/** Replaces the file atomically by a rename, so that a reader never sees a partial file. */
export const writeSamples = (path: string, samples: HostSample[]): void => {
    const temporaryPath = `${path}.${randomUUID()}`;
    writeFileSync(temporaryPath, JSON.stringify({ format: 1, samples }));
    renameSync(temporaryPath, path);
};
