/** Counters and latency histograms of an entry host, rendered as text for scrapers. */

/** Values of one host. */
export interface GatewayMetrics {
    count(name: string, labels: Readonly<Record<string, string>>): void;
    /** Adds one time, in milliseconds, to a histogram. */
    time(name: string, elapsedMs: number): void;
    render(gauges: Readonly<Record<string, number>>): string;
}

/** Upper bounds of the histograms' buckets in milliseconds: factors of two around the objectives of the routes. */
const bucketsMs = [5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10_000];
/** The most label sets that are kept apart. */
const maxSeries = 500;

interface TimeHistogram {
    counts: number[];
    total: number;
    sumMs: number;
}

const renderLabels = (labels: Readonly<Record<string, string>>): string =>
    Object.entries(labels).map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(",");

/** Creates empty metrics. */
export const createGatewayMetrics = (): GatewayMetrics => {
    const counters = new Map<string, number>();
    const histograms = new Map<string, TimeHistogram>();

    const renderHistogram = (name: string, histogram: TimeHistogram): string[] => {
        let below = 0;
        const lines = bucketsMs.map((bound, index) => {
            below += histogram.counts[index]!;
            return `${name}_bucket{le="${bound}"} ${below}`;
        });
        return [
            ...lines,
            `${name}_bucket{le="+Inf"} ${histogram.total}`,
            `${name}_sum ${histogram.sumMs.toFixed(1)}`,
            `${name}_count ${histogram.total}`,
        ];
    };

    return {
        count: (name, labels) => {
            const key = `${name}{${renderLabels(labels)}}`;
            if (counters.has(key) || counters.size < maxSeries) {
                counters.set(key, (counters.get(key) ?? 0) + 1);
            }
        },
        time: (name, elapsedMs) => {
            const histogram = histograms.get(name)
                ?? { counts: Array<number>(bucketsMs.length).fill(0), total: 0, sumMs: 0 };
            histograms.set(name, histogram);
            const bucket = bucketsMs.findIndex(bound => elapsedMs <= bound);
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
