/** State hosts that replicate by one round of writes to a majority, without terms, a log, or a sync before the reply. */
import { compareVersions, NodeEventKind, StateReplyKind, StateRequestKind } from "@cassiapick/core";
import type { ApplyRequest, HistoryEntry, StateReply, StateRequest, VersionedTables } from "@cassiapick/core";

/** Data of one naive host on disk. */
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

/** Creates a naive host from the data on its disk. */
export const createNaiveStateNode = (
    hostIds: readonly string[],
    hostId: string,
    disk: NaiveDisk,
): { step(event: NaiveEvent): NaiveAction[]; disk(): NaiveDisk; } => {
    let { versioned, history } = disk;
    let nextWriteId = 1;
    const pendingWrites = new Map<number, PendingWrite>();

    /** Applies the write unless it is older (last writer wins); the disk is written only after the reply. */
    const storeUnlessOlder = (newer: VersionedTables, entry: HistoryEntry): void => {
        if (compareVersions(newer.version, versioned.version) >= 0) {
            versioned = newer;
            history = [...history.filter(stored => stored.version.index < newer.version.index), entry];
        }
    };

    const handleApply = (requestId: number, request: ApplyRequest): NaiveAction[] => {
        const { version } = versioned;
        if (compareVersions(request.expectedVersion, version) !== 0) {
            const winningChangeId = history.at(-1)?.changeId ?? "";
            const message = "Another change won. Read the tables and apply again.";
            return [{ kind: "reply", requestId, reply: { kind: StateReplyKind.Conflict, version, winningChangeId, message } }];
        }
        const newer = { version: { epoch: version.epoch, index: version.index + 1 }, tables: request.tables };
        const entry = { version: newer.version, changeId: request.changeId, author: request.author, acceptedAt: 0 };
        storeUnlessOlder(newer, entry);
        const writeId = nextWriteId;
        nextWriteId += 1;
        pendingWrites.set(writeId, { requestId, versioned: newer, acks: 1 });
        const message: NaiveMessage = { kind: "write", writeId, versioned: newer, entry };
        return hostIds.filter(other => other !== hostId).map(to => ({ kind: "send" as const, to, message }));
    };

    const handleRequest = (requestId: number, request: StateRequest): NaiveAction[] => {
        if (request.kind === StateRequestKind.Apply) {
            return handleApply(requestId, request);
        }
        const reply: StateReply = request.kind === StateRequestKind.History
            ? { kind: StateReplyKind.History, entries: [...history].reverse() }
            : { kind: StateReplyKind.Tables, versioned };
        return [{ kind: "reply", requestId, reply }];
    };

    const handleMessage = (from: string, message: NaiveMessage): NaiveAction[] => {
        if (message.kind === "write") {
            storeUnlessOlder(message.versioned, message.entry);
            const ack: NaiveMessage = { kind: "written", writeId: message.writeId };
            return [{ kind: "send", to: from, message: ack }, { kind: "save", disk: { versioned, history } }];
        }
        const write = pendingWrites.get(message.writeId);
        if (write === undefined) {
            return [];
        }
        write.acks += 1;
        if (write.acks <= hostIds.length / 2) {
            return [];
        }
        pendingWrites.delete(message.writeId);
        const reply: StateReply = { kind: StateReplyKind.Applied, version: write.versioned.version };
        return [
            { kind: "reply", requestId: write.requestId, reply },
            { kind: "save", disk: { versioned, history } },
        ];
    };

    return {
        step: event =>
            event.kind === NodeEventKind.Message
                ? handleMessage(event.from, event.message)
                : handleRequest(event.requestId, event.request),
        disk: () => ({ versioned, history }),
    };
};
