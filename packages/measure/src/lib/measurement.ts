/** Types of a measurement. */

/** Options of a measurement. */
export interface MeasurementOptions {
    /** Seed of the random generators. */
    seed: number;
    /** Prints JSON instead of a table. */
    json: boolean;
}

/** Runs and prints one measurement. */
export type Measurement = (options: MeasurementOptions) => Promise<void>;
