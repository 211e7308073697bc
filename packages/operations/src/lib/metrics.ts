/** Metrics of one process: counts and durations of ended requests by service, brand class and outcome. */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";

/** One request that ended. */
export interface RequestSample {
    service: string;
    /** A class of brands, such as their size. A brand name is possible, but beyond `maxSeries` it counts as "other". */
    brandClass: string;
    /** The outcome for the caller, or the reason of a refusal. */
    outcome: string;
    durationMs: number;
}

/** Options of {@link createMetrics}. */
export interface MetricsOptions {
    /** Limit of distinct label sets; later ones are counted as "other". */
    maxSeries?: number;
    /** A monotonic clock, in milliseconds. */
    now: () => number;
}

/** The metrics of one process. */
export interface Metrics {
    record(sample: RequestSample): void;
    /** Adds a gauge whose value is read at each render, such as a queue's length. */
    addGauge(name: string, help: string, read: () => number): void;
    /** Renders all metrics in the Prometheus text format. */
    render(): Promise<string>;
    /** The content type of {@link Metrics.render}. */
    contentType: string;
}

const defaultMaxSeries = 500;
const otherLabel = "other";
const maxLabelChars = 63;
const quantiles = [0.5, 0.9, 0.99, 0.999, 1];
/** Quantiles cover the current and the previous interval of this length, in milliseconds. */
const intervalMs = 60_000;
const maxDurationMs = 600_000;
const significantDigits = 2;
const msPerSecond = 1000;
const requestLabels = ["service", "brand_class", "outcome"] as const;

type Labels = Record<(typeof requestLabels)[number], string>;

interface Series {
    labels: Labels;
    /** Number of the interval that `currentHistogram` covers, counted from the clock's zero. */
    interval: number;
    currentHistogram: Histogram;
    previousHistogram: Histogram;
}

const createHistogram = (): Histogram =>
    build({ highestTrackableValue: maxDurationMs, numberOfSignificantValueDigits: significantDigits, bitBucketSize: 32 });

/** Rotates the histograms so that `currentHistogram` covers `interval`. */
const rotateTo = (series: Series, interval: number): void => {
    if (interval === series.interval) {
        return;
    }
    const reused = series.previousHistogram;
    series.previousHistogram = series.currentHistogram;
    series.currentHistogram = reused;
    series.currentHistogram.reset();
    if (interval > series.interval + 1) {
        series.previousHistogram.reset();
    }
    series.interval = interval;
};

const mergeIntervals = (series: Series): Histogram => {
    const merged = createHistogram();
    merged.add(series.currentHistogram);
    merged.add(series.previousHistogram);
    return merged;
};

/** Creates the metrics of one process. */
export const createMetrics = (options: MetricsOptions): Metrics => {
    const maxSeries = options.maxSeries ?? defaultMaxSeries;
    const registry = new Registry();
    const seriesByKey = new Map<string, Series>();
    const currentInterval = (): number => Math.floor(options.now() / intervalMs);

    const requestCounter = new Counter({
        name: "cassiapick_requests_total",
        help: "Requests that ended, by service, brand class and outcome.",
        labelNames: requestLabels,
        registers: [registry],
    });
    const durationCounter = new Counter({
        name: "cassiapick_request_seconds_total",
        help: "Time that the requests took together, in seconds.",
        labelNames: requestLabels,
        registers: [registry],
    });
    new Gauge({
        name: "cassiapick_request_duration_seconds",
        help: "Quantiles of the time that requests took in the last one to two minutes, in seconds; 1 is the longest.",
        labelNames: [...requestLabels, "quantile"],
        registers: [registry],
        collect() {
            this.reset();
            for (const series of seriesByKey.values()) {
                rotateTo(series, currentInterval());
                const histogram = mergeIntervals(series);
                if (histogram.totalCount > 0) {
                    for (const quantile of quantiles) {
                        const durationMs = histogram.getValueAtPercentile(quantile * 100);
                        this.set({ ...series.labels, quantile: String(quantile) }, durationMs / msPerSecond);
                    }
                }
            }
        },
    });

    const getOrCreateSeries = (labels: Labels): Series => {
        const key = JSON.stringify([labels.service, labels.brand_class, labels.outcome]);
        const existing = seriesByKey.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const isOther = labels.service === otherLabel && labels.brand_class === otherLabel && labels.outcome === otherLabel;
        if (seriesByKey.size >= maxSeries && !isOther) {
            return getOrCreateSeries(generalizeLabels(labels));
        }
        const created = {
            labels,
            interval: currentInterval(),
            currentHistogram: createHistogram(),
            previousHistogram: createHistogram(),
        };
        seriesByKey.set(key, created);
        return created;
    };

    const record = (sample: RequestSample): void => {
        const series = getOrCreateSeries({
            service: sample.service.slice(0, maxLabelChars),
            brand_class: sample.brandClass.slice(0, maxLabelChars),
            outcome: sample.outcome.slice(0, maxLabelChars),
        });
        const durationMs = Math.min(Math.max(0, Math.round(sample.durationMs)), maxDurationMs);
        rotateTo(series, currentInterval());
        series.currentHistogram.recordValue(durationMs);
        requestCounter.inc(series.labels);
        durationCounter.inc(series.labels, durationMs / msPerSecond);
    };

    const addGauge = (name: string, help: string, read: () => number): void => {
        new Gauge({
            name,
            help,
            registers: [registry],
            collect() {
                this.set(read());
            },
        });
    };

    return { record, addGauge, render: () => registry.metrics(), contentType: registry.contentType };
};

/** Replaces one label with "other": the brand class first, then the service, then the outcome. */
const generalizeLabels = (labels: Labels): Labels => {
    if (labels.brand_class !== otherLabel) {
        return { ...labels, brand_class: otherLabel };
    }
    return labels.service !== otherLabel ? { ...labels, service: otherLabel } : { ...labels, outcome: otherLabel };
};
