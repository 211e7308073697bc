/** What a measurement is. */

/** Options of a measurement. */
export interface MeasurementOptions {
    seed: number;
    /** Print JSON in place of a table. */
    json: boolean;
}

/** Runs and prints one measurement. */
export type Measurement = (options: MeasurementOptions) => Promise<void>;
