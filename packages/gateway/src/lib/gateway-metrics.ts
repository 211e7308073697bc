/** Counters and latency histograms of an entry host, rendered in the Prometheus text format. */

/** Metrics of one host. */
export interface GatewayMetrics {
    increment(name: string, labels: Readonly<Record<string, string>>): void;
    /** Adds a duration to a histogram. */
    observe(name: string, elapsedMs: number): void;
    /** Renders all metrics together with the current values of `gauges`; a text holds the digits of a number. */
    render(gauges: Readonly<Record<string, number | string>>): string;
}

/** Upper bounds of the histogram buckets, in milliseconds: about factors of two around the routes' latency objectives. */
const bucketBoundsMs = [5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10_000];
/** Most counter series; counts of further label sets are dropped. */
const maxSeries = 500;

interface DurationHistogram {
    counts: number[];
    total: number;
    sumMs: number;
}

const renderLabels = (labels: Readonly<Record<string, string>>): string =>
    Object.entries(labels).map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(",");

/** Creates empty metrics. */
export const createGatewayMetrics = (): GatewayMetrics => {
    const counters = new Map<string, number>();
    const histograms = new Map<string, DurationHistogram>();

    const renderHistogram = (name: string, histogram: DurationHistogram): string[] => {
        let cumulativeCount = 0;
        const lines = bucketBoundsMs.map((bound, index) => {
            cumulativeCount += histogram.counts[index]!;
            return `${name}_bucket{le="${bound}"} ${cumulativeCount}`;
        });
        return [
            ...lines,
            `${name}_bucket{le="+Inf"} ${histogram.total}`,
            `${name}_sum ${histogram.sumMs.toFixed(1)}`,
            `${name}_count ${histogram.total}`,
        ];
    };

    return {
        increment: (name, labels) => {
            const key = `${name}{${renderLabels(labels)}}`;
            if (counters.has(key) || counters.size < maxSeries) {
                counters.set(key, (counters.get(key) ?? 0) + 1);
            }
        },
        observe: (name, elapsedMs) => {
            const histogram = histograms.get(name)
                ?? { counts: Array<number>(bucketBoundsMs.length).fill(0), total: 0, sumMs: 0 };
            histograms.set(name, histogram);
            const bucket = bucketBoundsMs.findIndex(bound => elapsedMs <= bound);
            if (bucket !== -1) {
                histogram.counts[bucket]! += 1;
            }
            histogram.total += 1;
            histogram.sumMs += elapsedMs;
        },
        render: gauges =>
            [
                ...[...counters].map(([key, value]) => `${key} ${value}`),
                ...[...histograms].flatMap(([name, histogram]) => renderHistogram(name, histogram)),
                ...Object.entries(gauges).map(([name, value]) => `${name} ${value}`),
                "",
            ].join("\n"),
    };
};
