/** Renders the report as an SVG image: one row per destination, the most urgent first. */
import { BurnLevel, BurnWindow } from "./burn-report.js";
import type { DestinationBurn, WindowBurn } from "./burn-report.js";
import { describeSpender, formatPercent, renderRate, renderTarget } from "./render-text.js";
import type { Report } from "./report.js";

const width = 1080;
const margin = 24;
const headerHeight = 84;
const rowHeight = 104;
const noteLineHeight = 20;
const budgetX = 300;
const budgetWidth = 200;
const ratesX = 530;
const rateSpacing = 66;
const timelineX = 740;
const timelineWidth = width - margin - timelineX;
const timelineHeight = 44;
const maxSpenderChars = 70;
/** Burn rate from which a bar of the timeline has the full height. */
const fullHeightRate = 14.4;

const textColor = "#1d2733";
const mutedTextColor = "#5b6875";
const trackColor = "#e3e8ec";

/** Each level has a colour and a label, so that readers don't depend on colour alone. */
const levelStyles: Record<BurnLevel, { color: string; label: string; rank: number; }> = {
    [BurnLevel.Fast]: { color: "#b3261e", label: "FAST BURN", rank: 0 },
    [BurnLevel.Slow]: { color: "#c25e00", label: "SLOW BURN", rank: 1 },
    [BurnLevel.Spent]: { color: "#8a6d00", label: "BUDGET SPENT", rank: 2 },
    [BurnLevel.Ok]: { color: "#1b7a43", label: "OK", rank: 3 },
    [BurnLevel.NoData]: { color: "#5b6875", label: "NO REQUESTS", rank: 4 },
};

const colorOf = (rate: number): string => {
    if (rate >= fullHeightRate) {
        return levelStyles[BurnLevel.Fast].color;
    }
    return rate > 1 ? levelStyles[BurnLevel.Slow].color : levelStyles[BurnLevel.Ok].color;
};

const entities = new Map([["&", "&amp;"], ["<", "&lt;"], [">", "&gt;"], ['"', "&quot;"]]);
const escapeXml = (text: string): string => text.replace(/[&<>"]/g, letter => entities.get(letter)!);

const drawText = (x: number, y: number, text: string, size: number, color: string, weight = 400): string =>
    `<text x="${x}" y="${y}" font-size="${size}" fill="${color}" font-weight="${weight}">${escapeXml(text)}</text>`;

const drawRect = (x: number, y: number, rectWidth: number, height: number, color: string): string =>
    `<rect x="${x.toFixed(1)}" y="${y.toFixed(1)}" width="${rectWidth.toFixed(1)}" height="${
        height.toFixed(1)
    }" fill="${color}"/>`;

const truncate = (text: string): string => text.length > maxSpenderChars ? `${text.slice(0, maxSpenderChars - 3)}...` : text;

const describeBudget = (fractionLeft: number): string =>
    fractionLeft < 0
        ? `budget overdrawn by ${formatPercent(-fractionLeft, 0)}`
        : `${formatPercent(fractionLeft, 0)} of the budget left`;

const drawBudget = (burn: DestinationBurn, y: number): string[] => {
    if (burn.level === BurnLevel.NoData) {
        return [];
    }
    const fractionLeft = Math.min(1, Math.max(0, burn.budgetLeft));
    const color = burn.budgetLeft < 0 ? levelStyles[BurnLevel.Fast].color : colorOf(2 - burn.budgetLeft * 2);
    return [
        drawRect(budgetX, y + 28, budgetWidth, 14, trackColor),
        drawRect(budgetX, y + 28, budgetWidth * fractionLeft, 14, color),
        drawText(budgetX, y + 20, describeBudget(burn.budgetLeft), 13, textColor),
    ];
};

const drawRate = (label: string, burn: WindowBurn, x: number, y: number): string[] => [
    drawText(x, y + 20, label, 12, mutedTextColor),
    drawText(x, y + 42, renderRate(burn), 18, burn.total === 0 ? mutedTextColor : colorOf(burn.rate), 700),
];

const drawTimeline = (points: WindowBurn[], y: number): string[] => {
    const barStep = timelineWidth / points.length;
    const bars = points.map((point, index) => {
        const height = Math.max(point.total === 0 ? 0 : 1, timelineHeight * Math.min(1, point.rate / fullHeightRate));
        return drawRect(timelineX + index * barStep, y + 8 + timelineHeight - height, barStep - 0.5, height, colorOf(point.rate));
    });
    const baselineY = y + 8 + timelineHeight;
    return [
        drawRect(timelineX, baselineY, timelineWidth, 1, trackColor),
        ...bars,
        drawText(timelineX, baselineY + 16, "6 h ago", 11, mutedTextColor),
        drawText(timelineX + timelineWidth - 22, baselineY + 16, "now", 11, mutedTextColor),
    ];
};

const drawSpenders = (burn: DestinationBurn, y: number): string[] => {
    const [largest] = burn.spenders;
    if (largest === undefined) {
        return [];
    }
    const text = `${formatPercent(largest.share, 0)} by ${describeSpender(largest)}`;
    const more = burn.spenders.length > 1 ? `, then ${burn.spenders.length - 1} more` : "";
    return [drawText(budgetX, y + 66, `Spent: ${truncate(`${text}${more}`)}`, 13, textColor)];
};

const drawDestination = (burn: DestinationBurn, y: number): string[] => {
    const style = levelStyles[burn.level];
    const { total, bad } = burn.windows[BurnWindow.SixHours];
    return [
        drawRect(margin, y, width - 2 * margin, 1, trackColor),
        drawRect(margin, y + 12, 6, rowHeight - 24, style.color),
        drawText(margin + 18, y + 28, burn.destination, 18, textColor, 700),
        drawText(margin + 18, y + 50, style.label, 14, style.color, 700),
        drawText(margin + 18, y + 70, `target ${renderTarget(burn.objective.target)}`, 12, mutedTextColor),
        drawText(margin + 18, y + 86, `${bad} bad of ${total} requests in 6 h`, 12, mutedTextColor),
        ...drawBudget(burn, y + 4),
        ...drawRate("5 min", burn.windows[BurnWindow.FiveMinutes], ratesX, y + 4),
        ...drawRate("1 h", burn.windows[BurnWindow.OneHour], ratesX + rateSpacing, y + 4),
        ...drawRate("6 h", burn.windows[BurnWindow.SixHours], ratesX + 2 * rateSpacing, y + 4),
        ...drawTimeline(burn.timeline, y + 4),
        ...drawSpenders(burn, y + 4),
    ];
};

const notesOf = (report: Report): string[] => {
    const { coverage } = report;
    return [...coverage.silent, ...coverage.gaps].map(({ hostId, message }) => `${hostId}: ${message}`);
};

const drawHeader = (report: Report): string[] => {
    const { coverage } = report;
    const completeness = coverage.complete
        ? `${coverage.asked} hosts answered, nothing is missing`
        : `INCOMPLETE: ${coverage.asked} hosts answered, ${coverage.silent.length} did not; see the notes below`;
    return [
        drawText(margin, 36, "Service-level burn", 24, textColor, 700),
        drawText(margin, 60, new Date(report.madeAt).toISOString(), 13, mutedTextColor),
        drawText(budgetX, 60, completeness, 13, coverage.complete ? mutedTextColor : levelStyles[BurnLevel.Fast].color, 700),
        drawText(timelineX, 36, "a rate of 1x spends the budget exactly", 12, mutedTextColor),
    ];
};

/** Renders the report as an SVG document. */
export const renderSvg = (report: Report): string => {
    const rows = [...report.destinations].sort((a, b) => levelStyles[a.level].rank - levelStyles[b.level].rank);
    const notes = notesOf(report);
    const notesY = headerHeight + rows.length * rowHeight;
    const height = notesY + notes.length * noteLineHeight + margin * 2;
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" viewBox="0 0 ${width} ${height}" font-family="sans-serif">`,
        "<title>Service-level burn</title>",
        drawRect(0, 0, width, height, "#ffffff"),
        ...drawHeader(report),
        ...rows.flatMap((burn, index) => drawDestination(burn, headerHeight + index * rowHeight)),
        ...notes.map((note, index) => drawText(margin, notesY + margin + index * noteLineHeight, note, 13, textColor)),
        "</svg>",
        "",
    ].join("\n");
};
