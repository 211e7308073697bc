/** State hosts that agree by one round of writes to a majority, without terms, a log or a sync before the answer. */
import { compareVersions, NodeEventKind, StateReplyKind, StateRequestKind } from "@cassiapick/core";
import type { ApplyRequest, HistoryEntry, StateReply, StateRequest, VersionedTables } from "@cassiapick/core";

/** What one naive host keeps on disk. */
export interface NaiveDisk {
    versioned: VersionedTables;
    history: HistoryEntry[];
}

export type NaiveMessage =
    | { kind: "write"; writeId: number; versioned: VersionedTables; entry: HistoryEntry; }
    | { kind: "written"; writeId: number; };

export type NaiveAction =
    | { kind: "save"; disk: NaiveDisk; }
    | { kind: "send"; to: string; message: NaiveMessage; }
    | { kind: "reply"; requestId: number; reply: StateReply; };

export type NaiveEvent =
    | { kind: NodeEventKind.Message; from: string; message: NaiveMessage; }
    | { kind: NodeEventKind.Request; requestId: number; request: StateRequest; };

interface PendingWrite {
    requestId: number;
    versioned: VersionedTables;
    acks: number;
}

/** Creates a naive host from what its disk held. */
export const createNaiveStateNode = (
    hostIds: readonly string[],
    hostId: string,
    disk: NaiveDisk,
): { step(event: NaiveEvent): NaiveAction[]; disk(): NaiveDisk; } => {
    let { versioned, history } = disk;
    let nextWriteId = 1;
    const pending = new Map<number, PendingWrite>();

    /** The last writer wins; the disk is written behind the answer. */
    const take = (newer: VersionedTables, entry: HistoryEntry): void => {
        if (compareVersions(newer.version, versioned.version) >= 0) {
            versioned = newer;
            history = [...history.filter(known => known.version.index < newer.version.index), entry];
        }
    };

    const apply = (requestId: number, request: ApplyRequest): NaiveAction[] => {
        const { version } = versioned;
        if (compareVersions(request.expectedVersion, version) !== 0) {
            const winningChangeId = history.at(-1)?.changeId ?? "";
            const message = "Another change won. Read the tables and apply again.";
            return [{ kind: "reply", requestId, reply: { kind: StateReplyKind.Conflict, version, winningChangeId, message } }];
        }
        const newer = { version: { epoch: version.epoch, index: version.index + 1 }, tables: request.tables };
        const entry = { version: newer.version, changeId: request.changeId, author: request.author, acceptedAt: 0 };
        take(newer, entry);
        const writeId = nextWriteId;
        nextWriteId += 1;
        pending.set(writeId, { requestId, versioned: newer, acks: 1 });
        const message: NaiveMessage = { kind: "write", writeId, versioned: newer, entry };
        return hostIds.filter(other => other !== hostId).map(to => ({ kind: "send" as const, to, message }));
    };

    const reply = (requestId: number, request: StateRequest): NaiveAction[] => {
        if (request.kind === StateRequestKind.Apply) {
            return apply(requestId, request);
        }
        const answer: StateReply = request.kind === StateRequestKind.History
            ? { kind: StateReplyKind.History, entries: [...history].reverse() }
            : { kind: StateReplyKind.Tables, versioned };
        return [{ kind: "reply", requestId, reply: answer }];
    };

    const receive = (from: string, message: NaiveMessage): NaiveAction[] => {
        if (message.kind === "write") {
            take(message.versioned, message.entry);
            const written: NaiveMessage = { kind: "written", writeId: message.writeId };
            return [{ kind: "send", to: from, message: written }, { kind: "save", disk: { versioned, history } }];
        }
        const write = pending.get(message.writeId);
        if (write === undefined) {
            return [];
        }
        write.acks += 1;
        if (write.acks <= hostIds.length / 2) {
            return [];
        }
        pending.delete(message.writeId);
        const applied: StateReply = { kind: StateReplyKind.Applied, version: write.versioned.version };
        return [
            { kind: "reply", requestId: write.requestId, reply: applied },
            { kind: "save", disk: { versioned, history } },
        ];
    };

    return {
        step: event =>
            event.kind === NodeEventKind.Message ? receive(event.from, event.message) : reply(event.requestId, event.request),
        disk: () => ({ versioned, history }),
    };
};
