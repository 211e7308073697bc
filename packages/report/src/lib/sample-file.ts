/** Keeps samples between runs, so that counts of a process outlive its restart. */
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

/** Reads the samples of earlier runs; a file that is not there holds none. */
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
        // Told below, as any other file that holds something else.
    }
    return { ok: false, message: `'${path}' holds no samples of this version. Remove it or name another file with --keep.` };
};

/** Replaces the file as a whole, so that a reader never sees a part. */
export const writeSamples = (path: string, samples: HostSample[]): void => {
    const draft = `${path}.${randomUUID()}`;
    writeFileSync(draft, JSON.stringify({ format: 1, samples }));
    renameSync(draft, path);
};
