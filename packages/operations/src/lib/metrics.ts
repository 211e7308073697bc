/** Metrics of one process: how many requests of each kind ended how, and how long they took. */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";

/** One request that ended. */
export interface RequestSample {
    service: string;
    /** A class of brands, such as their size. A brand's own name is allowed, but new ones soon count as "other". */
    brandClass: string;
    /** How it ended for its caller, or why it was refused. */
    outcome: string;
    durationMs: number;
}

/** Options of {@link createMetrics}. */
export interface MetricsOptions {
    /** The most label sets that are kept apart; later ones are counted as "other". */
    maxSeries?: number;
    /** A clock in milliseconds that never goes back. */
    now: () => number;
}

/** The metrics of one process. */
export interface Metrics {
    record(sample: RequestSample): void;
    /** Adds a value that is read at each render, such as a queue's length. */
    addGauge(name: string, help: string, read: () => number): void;
    /** Renders everything in the text format that scrapers read. */
    render(): Promise<string>;
    /** The content type of {@link Metrics.render}. */
    contentType: string;
}

const defaultMaxSeries = 500;
const otherLabel = "other";
const maxLabelChars = 63;
const quantiles = [0.5, 0.9, 0.99, 0.999, 1];
/** Quantiles are taken over the present and the last interval of this length, in milliseconds. */
const intervalMs = 60_000;
const maxDurationMs = 600_000;
const significantDigits = 2;
const msPerSecond = 1000;
const requestLabels = ["service", "brand_class", "outcome"] as const;

type Labels = Record<(typeof requestLabels)[number], string>;

interface Series {
    labels: Labels;
    /** The interval that `present` belongs to, counted from the clock's zero. */
    interval: number;
    present: Histogram;
    last: Histogram;
}

const createHistogram = (): Histogram =>
    build({ highestTrackableValue: maxDurationMs, numberOfSignificantValueDigits: significantDigits, bitBucketSize: 32 });

/** Makes `present` the histogram of `interval`. */
const turnTo = (series: Series, interval: number): void => {
    if (interval === series.interval) {
        return;
    }
    const reused = series.last;
    series.last = series.present;
    series.present = reused;
    series.present.reset();
    if (interval > series.interval + 1) {
        series.last.reset();
    }
    series.interval = interval;
};

const bothIntervals = (series: Series): Histogram => {
    const sum = createHistogram();
    sum.add(series.present);
    sum.add(series.last);
    return sum;
};

/** Creates the metrics of one process. */
export const createMetrics = (options: MetricsOptions): Metrics => {
    const maxSeries = options.maxSeries ?? defaultMaxSeries;
    const registry = new Registry();
    const seriesByKey = new Map<string, Series>();
    const currentInterval = (): number => Math.floor(options.now() / intervalMs);

    const requests = new Counter({
        name: "cassiapick_requests_total",
        help: "Requests that ended, by service, brand class and outcome.",
        labelNames: requestLabels,
        registers: [registry],
    });
    const seconds = new Counter({
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
                turnTo(series, currentInterval());
                const histogram = bothIntervals(series);
                if (histogram.totalCount > 0) {
                    for (const quantile of quantiles) {
                        const durationMs = histogram.getValueAtPercentile(quantile * 100);
                        this.set({ ...series.labels, quantile: String(quantile) }, durationMs / msPerSecond);
                    }
                }
            }
        },
    });

    const seriesOf = (labels: Labels): Series => {
        const key = JSON.stringify([labels.service, labels.brand_class, labels.outcome]);
        const known = seriesByKey.get(key);
        if (known !== undefined) {
            return known;
        }
        const isOther = labels.service === otherLabel && labels.brand_class === otherLabel && labels.outcome === otherLabel;
        if (seriesByKey.size >= maxSeries && !isOther) {
            return seriesOf(widen(labels));
        }
        const created = { labels, interval: currentInterval(), present: createHistogram(), last: createHistogram() };
        seriesByKey.set(key, created);
        return created;
    };

    const record = (sample: RequestSample): void => {
        const series = seriesOf({
            service: sample.service.slice(0, maxLabelChars),
            brand_class: sample.brandClass.slice(0, maxLabelChars),
            outcome: sample.outcome.slice(0, maxLabelChars),
        });
        const durationMs = Math.min(Math.max(0, Math.round(sample.durationMs)), maxDurationMs);
        turnTo(series, currentInterval());
        series.present.recordValue(durationMs);
        requests.inc(series.labels);
        seconds.inc(series.labels, durationMs / msPerSecond);
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

/** Gives up the label that matters least first: the brand class, then the service, then the outcome. */
const widen = (labels: Labels): Labels => {
    if (labels.brand_class !== otherLabel) {
        return { ...labels, brand_class: otherLabel };
    }
    return labels.service !== otherLabel ? { ...labels, service: otherLabel } : { ...labels, outcome: otherLabel };
};
