/** The commands `pools` and `addresses`. */
import type { MemberStatus, PoolStatus } from "@cassiapick/core";
import { MemberState } from "@cassiapick/core";
import type { EntryStatusResult } from "@cassiapick/operations";
import { renderTable } from "@cassiapick/operations";
import { failWith, succeed } from "./command-result.js";
import type { CommandResult } from "./command-result.js";
import { ExitCode } from "./exit-code.js";
import { withEntryHosts } from "./global-options.js";
import type { GlobalOptions } from "./global-options.js";

/** The status of one pool as one host reports it. */
interface PoolView {
    hostId: string;
    region: string;
    pool: PoolStatus;
}

const viewsOf = (answers: EntryStatusResult[]): PoolView[] =>
    answers.flatMap(answer =>
        answer.ok ? answer.status.pools.map(pool => ({ hostId: answer.hostId, region: answer.status.region, pool })) : []
    );

/** Selects the views of each pool's owner. A pool without a known owner in a region keeps the views of all hosts there. */
const preferOwnerViews = (views: PoolView[]): PoolView[] => {
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

const summaryHeader = [
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

const memberHeader = ["SERVER", "ADDRESS", "ZONE", "STATE", "SLOTS", "IN FLIGHT", "EVIDENCE", "WHY"];

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
        renderTable(summaryHeader, [summaryRow(view)]),
        renderTable(memberHeader, view.pool.members.map(memberRow)),
    ].join("\n");

const renderUnansweredHosts = (answers: EntryStatusResult[]): string => {
    const unanswered = answers.filter(answer => !answer.ok);
    const lines = unanswered.map(answer => `  ${answer.hostId}: ${answer.message}`);
    return unanswered.length === 0
        ? ""
        : `\nThese hosts could not be asked, so their view of the pools is missing here:\n${lines.join("\n")}`;
};

const noEntryHostAnswered = (answers: EntryStatusResult[]): CommandResult =>
    failWith({ kind: "unreachable", message: `No entry host answered. Check --entry-hosts.${renderUnansweredHosts(answers)}` });

/** `pools`: shows one line per pool, or the members of one pool. */
export const showPools = (options: GlobalOptions, name: string | undefined): Promise<CommandResult> =>
    withEntryHosts(options, async client => {
        const answers = await client.fetchFleetStatus();
        if (!answers.some(answer => answer.ok)) {
            return noEntryHostAnswered(answers);
        }
        const allViews = preferOwnerViews(viewsOf(answers));
        const views = name === undefined ? allViews : allViews.filter(view => view.pool.destination === name);
        if (name !== undefined && views.length === 0) {
            const known = [...new Set(allViews.map(view => view.pool.destination))].join(", ");
            return failWith({ kind: "usage", message: `No host has a pool '${name}'. Name one of: ${known}.` });
        }
        const text = name === undefined ? renderTable(summaryHeader, views.map(summaryRow)) : views.map(renderPool).join("\n\n");
        const code = answers.every(answer => answer.ok) ? ExitCode.Ok : ExitCode.Partial;
        return succeed(
            `${text}${renderUnansweredHosts(answers)}`,
            { pools: views, silent: answers.filter(answer => !answer.ok) },
            code,
        );
    });

/** `addresses`: shows the addresses that a caller gets for a brand and kind, from the first host that answers. */
export const showAddresses = (options: GlobalOptions, brand: string, kind: string): Promise<CommandResult> =>
    withEntryHosts(options, async client => {
        const answers = await client.fetchFleetStatus();
        const failures: string[] = [];
        for (const answer of answers) {
            if (answer.ok) {
                const addresses = await client.fetchAddresses(answer.status.callerAddress, brand, kind);
                if (addresses.ok) {
                    return succeed(
                        `${JSON.stringify(addresses.body, undefined, 2)}\nReported by ${answer.hostId}.`,
                        addresses.body,
                    );
                }
                failures.push(`\n  ${answer.hostId}: ${addresses.message}`);
            }
        }
        return failures.length === 0 ? noEntryHostAnswered(answers) : failWith({
            kind: "unreachable",
            message: `No entry host returned the addresses.${failures.join("")}`,
        });
    });
