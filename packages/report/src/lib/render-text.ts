/** Renders the report for a terminal. */
import { renderTable } from "@cassiapick/operations";
import { BurnWindow } from "./burn-report.js";
import type { DestinationBurn, Spender, WindowBurn } from "./burn-report.js";
import type { Coverage } from "./coverage.js";
import type { Report } from "./report.js";

const shownSpenders = 5;
const shownBrands = 5;

/** Renders a share as a percentage. */
export const percent = (share: number, digits = 1): string => `${(share * 100).toFixed(digits)} %`;

/** Renders a target without trailing zeros, as in "99.9 %". */
export const renderTarget = (target: number): string => `${Number((target * 100).toFixed(6))} %`;

/** Renders a burn rate, or a dash where there was no request. */
export const renderRate = (burn: WindowBurn): string => burn.total === 0 ? "-" : `${burn.rate.toFixed(1)}x`;

/** Names a spender, as in "map-3: timeout". */
export const nameSpender = (spender: Spender): string => `${spender.serverId ?? "(no backend server)"}: ${spender.fault}`;

const head = ["DESTINATION", "TARGET", "LEVEL", "5 M", "1 H", "6 H", "BUDGET LEFT", "BAD", "REQUESTS"];

const summaryRow = (burn: DestinationBurn): string[] => {
    const longest = burn.windows[BurnWindow.SixHours];
    return [
        burn.destination,
        `${renderTarget(burn.objective.target)}${burn.objective.slowIsBad ? "" : ", slow allowed"}`,
        burn.level,
        renderRate(burn.windows[BurnWindow.FiveMinutes]),
        renderRate(burn.windows[BurnWindow.OneHour]),
        renderRate(longest),
        longest.total === 0 ? "-" : percent(burn.budgetLeft, 0),
        String(longest.bad),
        String(longest.total),
    ];
};

const renderSpenders = (burn: DestinationBurn): string[] => {
    const lines = burn.spenders.slice(0, shownSpenders).map(spender =>
        `  ${percent(spender.share).padStart(8)}  ${String(spender.count).padStart(8)}  ${nameSpender(spender)}`
    );
    const others = burn.spenders.slice(shownSpenders).reduce((sum, spender) => sum + spender.count, 0);
    return [
        ...lines,
        ...others === 0 ? [] : [`  and ${others} in ${burn.spenders.length - shownSpenders} other ways`],
        ...burn.unattributed === 0 ? [] : [`  and ${burn.unattributed} to which no fault was counted`],
    ];
};

const renderBrands = (burn: DestinationBurn): string[] =>
    burn.brands
        .filter(brand => brand.windows[BurnWindow.OneHour].bad > 0)
        .slice(0, shownBrands)
        .map(({ brand, windows }) => {
            const hour = windows[BurnWindow.OneHour];
            return `  ${renderRate(hour).padStart(8)}  ${brand} (${hour.bad} of ${hour.total} in the last hour)`;
        });

const renderDetail = (burn: DestinationBurn): string[] => {
    if (burn.windows[BurnWindow.SixHours].bad === 0) {
        return [];
    }
    const brands = renderBrands(burn);
    return [
        "",
        `${burn.destination}: who spent the budget of the last 6 h`,
        ...renderSpenders(burn),
        ...brands.length === 0 ? [] : [`${burn.destination}: brands that burn most`, ...brands],
    ];
};

/** Renders what is missing; empty when nothing is. */
export const renderCoverage = (coverage: Coverage): string[] =>
    coverage.complete ? [] : [
        "",
        `Incomplete: ${coverage.asked} hosts answered, ${coverage.silent.length} did not. The figures hold what was counted.`,
        ...coverage.silent.map(({ hostId, message }) => `  ${hostId}: ${message}`),
        ...coverage.gaps.map(({ hostId, message }) => `  ${hostId}: ${message}`),
    ];

/** Renders the whole report. */
export const renderText = (report: Report): string =>
    [
        `Service-level burn at ${new Date(report.madeAt).toISOString()}. A rate of 1x spends the budget exactly.`,
        "",
        report.destinations.length === 0 ? "No request was counted." : renderTable(head, report.destinations.map(summaryRow)),
        ...report.destinations.flatMap(renderDetail),
        ...renderCoverage(report.coverage),
    ].join("\n");
