/** The commands `pools` and `addresses`. */
import type { MemberStatus, PoolStatus } from "@cassiapick/core";
import { MemberState } from "@cassiapick/core";
import type { EntryAnswer } from "@cassiapick/operations";
import { renderTable } from "@cassiapick/operations";
import { failWith, succeed } from "./command-result.js";
import type { CommandResult } from "./command-result.js";
import { withEntryHosts } from "./context.js";
import type { GlobalOptions } from "./context.js";
import { ExitCode } from "./exit-code.js";

/** One pool as one host sees it. */
interface PoolView {
    hostId: string;
    region: string;
    pool: PoolStatus;
}

const viewsOf = (answers: EntryAnswer[]): PoolView[] =>
    answers.flatMap(answer =>
        answer.ok ? answer.status.pools.map(pool => ({ hostId: answer.hostId, region: answer.status.region, pool })) : []
    );

/** A pool is told by its owners; where none is known, every view is shown rather than a guess. */
const authoritative = (views: PoolView[]): PoolView[] => {
    const owned = views.filter(view => view.pool.ownerHostId === view.hostId);
    const ownedNames = new Set(owned.map(view => `${view.region}/${view.pool.destination}`));
    return [...owned, ...views.filter(view => !ownedNames.has(`${view.region}/${view.pool.destination}`))]
        .sort((a, b) => a.pool.destination < b.pool.destination ? -1 : 1);
};

const countState = (members: MemberStatus[], state: MemberState): number =>
    members.filter(member => member.state === state).length;

const usableSlots = (members: MemberStatus[]): number =>
    members
        .filter(member => member.state === MemberState.Healthy || member.state === MemberState.Suspected)
        .reduce((sum, member) => sum + member.slots, 0);

const summaryHead = [
    "POOL",
    "REGION",
    "SEEN BY",
    "MEMBERS",
    "HEALTHY SLOTS",
    "FLOOR",
    "EJECTED",
    "KEPT BY FLOOR",
    "IN FLIGHT",
    "QUEUED",
];

const summaryRow = ({ hostId, region, pool }: PoolView): string[] => [
    pool.destination,
    region,
    pool.ownerHostId === hostId ? `${hostId} (owner)` : hostId,
    String(pool.members.length),
    String(usableSlots(pool.members)),
    String(pool.floorSlots),
    String(countState(pool.members, MemberState.Ejected)),
    String(countState(pool.members, MemberState.KeptByFloor)),
    String(pool.members.reduce((sum, member) => sum + member.inFlight, 0)),
    String(pool.queued),
];

const memberHead = ["SERVER", "ADDRESS", "ZONE", "STATE", "SLOTS", "IN FLIGHT", "EVIDENCE", "WHY"];

const memberRow = (member: MemberStatus): string[] => [
    member.serverId,
    member.address,
    member.availabilityZone,
    member.state,
    String(member.slots),
    String(member.inFlight),
    member.evidence.toFixed(1),
    member.reason,
];

const renderPool = (view: PoolView): string =>
    [
        renderTable(summaryHead, [summaryRow(view)]),
        renderTable(memberHead, view.pool.members.map(memberRow)),
    ].join("\n");

const silentNote = (answers: EntryAnswer[]): string => {
    const silent = answers.filter(answer => !answer.ok);
    const lines = silent.map(answer => `  ${answer.hostId}: ${answer.message}`);
    return silent.length === 0 ? "" : `\nCould not be asked, so what they see is missing here:\n${lines.join("\n")}`;
};

const unreachable = (answers: EntryAnswer[]): CommandResult =>
    failWith({ kind: "unreachable", message: `No entry host answered. Check --entry-hosts.${silentNote(answers)}` });

/** `pools`: a line for each pool, or the members of one. */
export const showPools = (options: GlobalOptions, name: string | undefined): Promise<CommandResult> =>
    withEntryHosts(options, async client => {
        const answers = await client.askFleet();
        if (!answers.some(answer => answer.ok)) {
            return unreachable(answers);
        }
        const all = authoritative(viewsOf(answers));
        const views = name === undefined ? all : all.filter(view => view.pool.destination === name);
        if (name !== undefined && views.length === 0) {
            const known = [...new Set(all.map(view => view.pool.destination))].join(", ");
            return failWith({ kind: "usage", message: `No host has a pool '${name}'. Name one of: ${known}.` });
        }
        const text = name === undefined ? renderTable(summaryHead, views.map(summaryRow)) : views.map(renderPool).join("\n\n");
        const code = answers.every(answer => answer.ok) ? ExitCode.Ok : ExitCode.Partial;
        return succeed(`${text}${silentNote(answers)}`, { pools: views, silent: answers.filter(answer => !answer.ok) }, code);
    });

/** `addresses`: what a caller of one brand and kind is told, by the first host that answers. */
export const showAddresses = (options: GlobalOptions, brand: string, kind: string): Promise<CommandResult> =>
    withEntryHosts(options, async client => {
        const answers = await client.askFleet();
        const failures: string[] = [];
        for (const answer of answers) {
            if (answer.ok) {
                const told = await client.askAddresses(answer.status.callerAddress, brand, kind);
                if (told.ok) {
                    return succeed(`${JSON.stringify(told.body, undefined, 2)}\nAs told by ${answer.hostId}.`, told.body);
                }
                failures.push(`\n  ${answer.hostId}: ${told.message}`);
            }
        }
        return failures.length === 0 ? unreachable(answers) : failWith({
            kind: "unreachable",
            message: `No entry host told the addresses.${failures.join("")}`,
        });
    });
