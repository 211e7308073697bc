/** Renders the report as a picture: one row a destination, worst first, read at a glance. */
import { BurnLevel, BurnWindow } from "./burn-report.js";
import type { DestinationBurn, WindowBurn } from "./burn-report.js";
import { nameSpender, percent, renderRate, renderTarget } from "./render-text.js";
import type { Report } from "./report.js";

const width = 1080;
const margin = 24;
const headerHeight = 84;
const rowHeight = 104;
const noteHeight = 20;
const budgetX = 300;
const budgetWidth = 200;
const ratesX = 530;
const rateStep = 66;
const timelineX = 740;
const timelineWidth = width - margin - timelineX;
const timelineHeight = 44;
const maxSpenderChars = 70;
/** A point of the timeline that burns this much or more fills its height. */
const fullRate = 14.4;

const ink = "#1d2733";
const faint = "#5b6875";
const track = "#e3e8ec";

/** Levels keep their colour and their word, so that nobody depends on colour alone. */
const looks: Record<BurnLevel, { color: string; word: string; rank: number; }> = {
    [BurnLevel.Fast]: { color: "#b3261e", word: "FAST BURN", rank: 0 },
    [BurnLevel.Slow]: { color: "#c25e00", word: "SLOW BURN", rank: 1 },
    [BurnLevel.Spent]: { color: "#8a6d00", word: "BUDGET SPENT", rank: 2 },
    [BurnLevel.Ok]: { color: "#1b7a43", word: "OK", rank: 3 },
    [BurnLevel.NoData]: { color: "#5b6875", word: "NO REQUESTS", rank: 4 },
};

const colorOf = (rate: number): string => {
    if (rate >= fullRate) {
        return looks[BurnLevel.Fast].color;
    }
    return rate > 1 ? looks[BurnLevel.Slow].color : looks[BurnLevel.Ok].color;
};

const entities: Record<string, string> = { "&": "&amp;", "<": "&lt;", ">": "&gt;", '"': "&quot;" };
const escapeXml = (text: string): string => text.replace(/[&<>"]/g, letter => entities[letter]!);

const drawText = (x: number, y: number, text: string, size: number, color: string, weight = 400): string =>
    `<text x="${x}" y="${y}" font-size="${size}" fill="${color}" font-weight="${weight}">${escapeXml(text)}</text>`;

const drawBox = (x: number, y: number, boxWidth: number, height: number, color: string): string =>
    `<rect x="${x.toFixed(1)}" y="${y.toFixed(1)}" width="${boxWidth.toFixed(1)}" height="${
        height.toFixed(1)
    }" fill="${color}"/>`;

const clip = (text: string): string => text.length > maxSpenderChars ? `${text.slice(0, maxSpenderChars - 3)}...` : text;

const describeBudget = (left: number): string =>
    left < 0 ? `budget overdrawn by ${percent(-left, 0)}` : `${percent(left, 0)} of the budget left`;

const drawBudget = (burn: DestinationBurn, y: number): string[] => {
    if (burn.level === BurnLevel.NoData) {
        return [];
    }
    const left = Math.min(1, Math.max(0, burn.budgetLeft));
    const color = burn.budgetLeft < 0 ? looks[BurnLevel.Fast].color : colorOf(2 - burn.budgetLeft * 2);
    return [
        drawBox(budgetX, y + 28, budgetWidth, 14, track),
        drawBox(budgetX, y + 28, budgetWidth * left, 14, color),
        drawText(budgetX, y + 20, describeBudget(burn.budgetLeft), 13, ink),
    ];
};

const drawRate = (label: string, burn: WindowBurn, x: number, y: number): string[] => [
    drawText(x, y + 20, label, 12, faint),
    drawText(x, y + 42, renderRate(burn), 18, burn.total === 0 ? faint : colorOf(burn.rate), 700),
];

const drawTimeline = (points: WindowBurn[], y: number): string[] => {
    const step = timelineWidth / points.length;
    const bars = points.map((point, index) => {
        const height = Math.max(point.total === 0 ? 0 : 1, timelineHeight * Math.min(1, point.rate / fullRate));
        return drawBox(timelineX + index * step, y + 8 + timelineHeight - height, step - 0.5, height, colorOf(point.rate));
    });
    const base = y + 8 + timelineHeight;
    return [
        drawBox(timelineX, base, timelineWidth, 1, track),
        ...bars,
        drawText(timelineX, base + 16, "6 h ago", 11, faint),
        drawText(timelineX + timelineWidth - 22, base + 16, "now", 11, faint),
    ];
};

const drawSpenders = (burn: DestinationBurn, y: number): string[] => {
    const [first] = burn.spenders;
    if (first === undefined) {
        return [];
    }
    const text = `${percent(first.share, 0)} by ${nameSpender(first)}`;
    const more = burn.spenders.length > 1 ? `, then ${burn.spenders.length - 1} more` : "";
    return [drawText(budgetX, y + 66, `Spent: ${clip(`${text}${more}`)}`, 13, ink)];
};

const drawDestination = (burn: DestinationBurn, y: number): string[] => {
    const look = looks[burn.level];
    const { total, bad } = burn.windows[BurnWindow.SixHours];
    return [
        drawBox(margin, y, width - 2 * margin, 1, track),
        drawBox(margin, y + 12, 6, rowHeight - 24, look.color),
        drawText(margin + 18, y + 28, burn.destination, 18, ink, 700),
        drawText(margin + 18, y + 50, look.word, 14, look.color, 700),
        drawText(margin + 18, y + 70, `target ${renderTarget(burn.objective.target)}`, 12, faint),
        drawText(margin + 18, y + 86, `${bad} bad of ${total} requests in 6 h`, 12, faint),
        ...drawBudget(burn, y + 4),
        ...drawRate("5 min", burn.windows[BurnWindow.FiveMinutes], ratesX, y + 4),
        ...drawRate("1 h", burn.windows[BurnWindow.OneHour], ratesX + rateStep, y + 4),
        ...drawRate("6 h", burn.windows[BurnWindow.SixHours], ratesX + 2 * rateStep, y + 4),
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
        drawText(margin, 36, "Service-level burn", 24, ink, 700),
        drawText(margin, 60, new Date(report.madeAt).toISOString(), 13, faint),
        drawText(budgetX, 60, completeness, 13, coverage.complete ? faint : looks[BurnLevel.Fast].color, 700),
        drawText(timelineX, 36, "a rate of 1x spends the budget exactly", 12, faint),
    ];
};

/** Renders the picture as an SVG document. */
export const renderSvg = (report: Report): string => {
    const rows = [...report.destinations].sort((a, b) => looks[a.level].rank - looks[b.level].rank);
    const notes = notesOf(report);
    const notesY = headerHeight + rows.length * rowHeight;
    const height = notesY + notes.length * noteHeight + margin * 2;
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" viewBox="0 0 ${width} ${height}" font-family="sans-serif">`,
        "<title>Service-level burn</title>",
        drawBox(0, 0, width, height, "#ffffff"),
        ...drawHeader(report),
        ...rows.flatMap((burn, index) => drawDestination(burn, headerHeight + index * rowHeight)),
        ...notes.map((note, index) => drawText(margin, notesY + margin + index * noteHeight, note, 13, ink)),
        "</svg>",
        "",
    ].join("\n");
};
