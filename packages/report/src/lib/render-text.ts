/** Renders the report for a terminal. */
import { renderTable } from "@cassiapick/operations";
import { BurnWindow } from "./burn-report.js";
import type { DestinationBurn, Spender, WindowBurn } from "./burn-report.js";
import type { Coverage } from "./coverage.js";
import type { Report } from "./report.js";

const maxShownSpenders = 5;
const maxShownBrands = 5;

/** Renders a share as a percentage. */
export const formatPercent = (share: number, digits = 1): string => `${(share * 100).toFixed(digits)} %`;

/** Renders a target without trailing zeros, as in "99.9 %". */
export const renderTarget = (target: number): string => `${Number((target * 100).toFixed(6))} %`;

/** Renders a burn rate, or a dash where there was no request. */
export const renderRate = (burn: WindowBurn): string => burn.total === 0 ? "-" : `${burn.rate.toFixed(1)}x`;

/** Renders the server and fault of a spender, as in "map-3: timeout". */
export const describeSpender = (spender: Spender): string => `${spender.serverId ?? "(no backend server)"}: ${spender.fault}`;

const header = ["DESTINATION", "TARGET", "LEVEL", "5 M", "1 H", "6 H", "BUDGET LEFT", "BAD", "REQUESTS"];

const summaryRow = (burn: DestinationBurn): string[] => {
    const longest = burn.windows[BurnWindow.SixHours];
    return [
        burn.destination,
        `${renderTarget(burn.objective.target)}${burn.objective.slowIsBad ? "" : ", slow allowed"}`,
        burn.level,
        renderRate(burn.windows[BurnWindow.FiveMinutes]),
        renderRate(burn.windows[BurnWindow.OneHour]),
        renderRate(longest),
        longest.total === 0 ? "-" : formatPercent(burn.budgetLeft, 0),
        String(longest.bad),
        String(longest.total),
    ];
};

const renderSpenders = (burn: DestinationBurn): string[] => {
    const lines = burn.spenders.slice(0, maxShownSpenders).map(spender =>
        `  ${formatPercent(spender.share).padStart(8)}  ${String(spender.count).padStart(8)}  ${describeSpender(spender)}`
    );
    const otherCount = burn.spenders.slice(maxShownSpenders).reduce((sum, spender) => sum + spender.count, 0);
    return [
        ...lines,
        ...otherCount === 0
            ? []
            : [`  and ${otherCount} in ${burn.spenders.length - maxShownSpenders} other combinations of server and fault`],
        ...burn.unattributed === 0 ? [] : [`  and ${burn.unattributed} without a recorded fault`],
    ];
};

const renderBrands = (burn: DestinationBurn): string[] =>
    burn.brands
        .filter(brand => brand.windows[BurnWindow.OneHour].bad > 0)
        .slice(0, maxShownBrands)
        .map(({ brand, windows }) => {
            const hour = windows[BurnWindow.OneHour];
            return `  ${renderRate(hour).padStart(8)}  ${brand} (${hour.bad} of ${hour.total} in the last hour)`;
        });

const renderDestination = (burn: DestinationBurn): string[] => {
    if (burn.windows[BurnWindow.SixHours].bad === 0) {
        return [];
    }
    const brands = renderBrands(burn);
    return [
        "",
        `${burn.destination}: what spent the budget of the last 6 h`,
        ...renderSpenders(burn),
        ...brands.length === 0 ? [] : [`${burn.destination}: brands with the highest burn rate`, ...brands],
    ];
};

/** Renders the list of missing data; empty when nothing is missing. */
export const renderCoverage = (coverage: Coverage): string[] =>
    coverage.complete ? [] : [
        "",
        `Incomplete: ${coverage.asked} hosts answered, ${coverage.silent.length} did not. The figures include only what was counted.`,
        ...coverage.silent.map(({ hostId, message }) => `  ${hostId}: ${message}`),
        ...coverage.gaps.map(({ hostId, message }) => `  ${hostId}: ${message}`),
    ];

/** Renders the whole report. */
export const renderText = (report: Report): string =>
    [
        `Service-level burn at ${new Date(report.madeAt).toISOString()}. A rate of 1x spends the budget exactly.`,
        "",
        report.destinations.length === 0 ? "No request was counted." : renderTable(header, report.destinations.map(summaryRow)),
        ...report.destinations.flatMap(renderDestination),
        ...renderCoverage(report.coverage),
    ].join("\n");
