/**
 * Messages of the consensus as arrays without names of fields, as they cross availability zones and regions, where bytes are
 * billed. Only messages that are frequent or long have such a form; the others are sent as they are.
 */
import { StateReplyKind, StateRequestKind } from "../state-messages.js";
import { fromCompactFacts, toCompactFacts } from "./compact-facts.js";
import type { CompactFact } from "./compact-facts.js";
import { EntryKind } from "./log-entry.js";
import type { EntryBody, LogEntry } from "./log-entry.js";
import { PeerMessageKind } from "./node-messages.js";
import type { AppendMessage, AppendReplyMessage, PeerMessage } from "./node-messages.js";

/** The first element of each form. Hosts of several versions run side by side, so a number keeps its meaning; 4 stands for outcomes. */
enum CompactKind {
    Append = 0,
    AppendReply = 1,
    ForwardFacts = 2,
    ForwardRecorded = 3,
}

/** An entry; its index follows from its place. `termsBefore` is how much older it is than the message's term. */
type CompactEntry = [termsBefore: number, body: EntryBody | CompactFact[]];

/** Indexes and terms are sent as differences, which are small numbers. */
type CompactAppend = [
    kind: CompactKind.Append,
    term: number,
    previousIndex: number,
    previousTermsBefore: number,
    previousIndexAheadOfCommit: number,
    /** -1 if no majority has replied. */
    quorumAgeMs: number,
    round: number,
    ...entries: CompactEntry[],
];

/** A message in the short form. */
export type CompactMessage =
    | CompactAppend
    | [kind: CompactKind.AppendReply, term: number, ok: number, index: number, round: number, incarnation: number]
    | [kind: CompactKind.ForwardFacts, forwardId: number, ...facts: CompactFact[]]
    | [kind: CompactKind.ForwardRecorded, forwardId: number];

const toCompactBody = (body: EntryBody): EntryBody | CompactFact[] =>
    body.kind === EntryKind.Facts ? toCompactFacts(body.facts) : body;

const fromCompactBody = (body: EntryBody | CompactFact[]): EntryBody =>
    Array.isArray(body) ? { kind: EntryKind.Facts, facts: fromCompactFacts(body) } : body;

const toCompactAppend = (message: AppendMessage): CompactAppend | undefined => {
    const { term, previousIndex, previousTerm, entries, commitIndex, quorumAgeMs, round } = message;
    if (entries.some(({ index }, place) => index !== previousIndex + 1 + place)) {
        return undefined;
    }
    // Rounded up, as the age is an upper bound.
    const ageMs = Number.isFinite(quorumAgeMs) ? Math.ceil(quorumAgeMs) : -1;
    const compactEntries = entries.map((entry): CompactEntry => [term - entry.term, toCompactBody(entry.body)]);
    const start = [CompactKind.Append, term, previousIndex, term - previousTerm, previousIndex - commitIndex, ageMs] as const;
    return [...start, round, ...compactEntries];
};

const fromCompactAppend = (message: CompactAppend): AppendMessage => {
    const [, term, previousIndex, previousTermsBefore, aheadOfCommit, ageMs, round, ...entries] = message;
    return {
        kind: PeerMessageKind.Append,
        term,
        previousIndex,
        previousTerm: term - previousTermsBefore,
        entries: entries.map(([termsBefore, body], place): LogEntry => ({
            index: previousIndex + 1 + place,
            term: term - termsBefore,
            body: fromCompactBody(body),
        })),
        commitIndex: previousIndex - aheadOfCommit,
        quorumAgeMs: ageMs < 0 ? Infinity : ageMs,
        round,
    };
};

const toCompactAppendReply = ({ term, ok, index, round, incarnation }: AppendReplyMessage): CompactMessage => [
    CompactKind.AppendReply,
    term,
    ok ? 1 : 0,
    index,
    round,
    incarnation,
];

/** Returns the short form of a message; `undefined` if it has none. */
export const toCompactMessage = (message: PeerMessage): CompactMessage | undefined => {
    switch (message.kind) {
        case PeerMessageKind.Append:
            return toCompactAppend(message);
        case PeerMessageKind.AppendReply:
            return toCompactAppendReply(message);
        case PeerMessageKind.Forward:
            return message.request.kind === StateRequestKind.Facts
                ? [CompactKind.ForwardFacts, message.forwardId, ...toCompactFacts(message.request.facts)]
                : undefined;
        case PeerMessageKind.ForwardReply:
            return message.reply.kind === StateReplyKind.Recorded
                ? [CompactKind.ForwardRecorded, message.forwardId]
                : undefined;
        default:
            return undefined;
    }
};

const kinds: Readonly<Record<CompactKind, PeerMessageKind>> = {
    [CompactKind.Append]: PeerMessageKind.Append,
    [CompactKind.AppendReply]: PeerMessageKind.AppendReply,
    [CompactKind.ForwardFacts]: PeerMessageKind.Forward,
    [CompactKind.ForwardRecorded]: PeerMessageKind.ForwardReply,
};

/** Number of elements of an append message before its entries. */
const appendHeadLength = 7;

/** The kind of the message that a short form stands for. */
export const compactMessageKind = (message: CompactMessage): PeerMessageKind => kinds[message[0]];

/** Whether a short form carries entries of the log. */
export const carriesEntries = (message: CompactMessage): boolean =>
    message[0] === CompactKind.Append && message.length > appendHeadLength;

/** Returns the message of a short form; `undefined` if this version has no such form. */
export const fromCompactMessage = (message: CompactMessage): PeerMessage | undefined => {
    switch (message[0]) {
        case CompactKind.Append:
            return fromCompactAppend(message);
        case CompactKind.AppendReply: {
            const [, term, ok, index, round, incarnation] = message;
            return { kind: PeerMessageKind.AppendReply, term, ok: ok === 1, index, round, incarnation };
        }
        case CompactKind.ForwardFacts: {
            const [, forwardId, ...rows] = message;
            const request = { kind: StateRequestKind.Facts, facts: fromCompactFacts(rows) } as const;
            return { kind: PeerMessageKind.Forward, forwardId, request };
        }
        case CompactKind.ForwardRecorded:
            return { kind: PeerMessageKind.ForwardReply, forwardId: message[1], reply: { kind: StateReplyKind.Recorded } };
        default:
            return undefined;
    }
};
