/** State hosts in simulated time, for tests of voter changes. */
import {
    createRandom,
    createStateNode,
    drawIncarnation,
    NodeActionKind,
    NodeEventKind,
    StateRequestKind,
    StateRole,
    voterAbsenceTimeoutMs,
} from "../index.js";
import type { HardState, LogEntry, NodeAction, NodeEvent, Snapshot, StateNode, StateReply, StateRequest } from "../index.js";

/** Time between two ticks, in milliseconds. */
export const tickMs = 50;
/** Time after the start of a host in which its messages are lost, because its connections are not open yet. */
const connectionSetupMs = 150;

interface Disk {
    hardState: HardState;
    snapshot?: Snapshot;
    entries: LogEntry[];
}

interface TestHost {
    node: StateNode;
    disk: Disk;
    startedAt: number;
}

/** State hosts that discover each other through the same seeds, in simulated time. */
export interface TestFleet {
    add(hostId: string, founding: boolean): void;
    /** Stops a process; its disk is kept. */
    stop(hostId: string): void;
    /** Restarts a process from its disk, or from an empty one. */
    restart(hostId: string, hasLostDisk: boolean): void;
    run(ms: number): void;
    request(hostId: string, request: StateRequest): StateReply | undefined;
    node(hostId: string): StateNode;
    leader(): string | undefined;
}

/** Creates a fleet without hosts. */
export const createTestFleet = (seeds: readonly string[], seed: number): TestFleet => {
    const random = createRandom(seed);
    const hosts = new Map<string, TestHost>();
    const disks = new Map<string, Disk>();
    const replies = new Map<number, StateReply>();
    let inFlight: { to: string; event: NodeEvent; }[] = [];
    let now = 0;
    let requestId = 0;

    const isConnected = (hostId: string): boolean => now - (hosts.get(hostId)?.startedAt ?? now) >= connectionSetupMs;

    const runAction = (hostId: string, disk: Disk, action: NodeAction): void => {
        switch (action.kind) {
            case NodeActionKind.SaveHardState:
                disk.hardState = action.hardState;
                break;
            case NodeActionKind.Append:
                disk.entries.push(...action.entries);
                break;
            case NodeActionKind.Truncate:
                disk.entries = disk.entries.filter(entry => entry.index < action.fromIndex);
                break;
            case NodeActionKind.SaveSnapshot:
                disk.snapshot = action.snapshot;
                disk.entries = [...action.entries];
                break;
            case NodeActionKind.Send:
                if (!isConnected(hostId) || !isConnected(action.to)) {
                    break;
                }
                inFlight.push({
                    to: action.to,
                    event: { kind: NodeEventKind.Message, from: hostId, message: structuredClone(action.message) },
                });
                break;
            case NodeActionKind.Reply:
                replies.set(action.requestId, action.reply);
                break;
        }
    };

    const step = (hostId: string, event: NodeEvent): void => {
        const host = hosts.get(hostId);
        for (const action of host?.node.step(event, now) ?? []) {
            runAction(hostId, host!.disk, action);
        }
    };

    const start = (hostId: string, disk: Disk): void => {
        disks.set(hostId, disk);
        const node = createStateNode({
            hostId,
            hostIds: seeds,
            stored: structuredClone(disk),
            random: createRandom(random.below(2 ** 30)),
            wallClock: () => now,
            timing: { heartbeatMs: 200, electionTimeoutMs: 800, requestTimeoutMs: 3000 },
            replacement: { minVoters: 3, absenceTimeoutMs: voterAbsenceTimeoutMs },
        });
        hosts.set(hostId, { node, disk, startedAt: now });
    };

    const emptyDisk = (founding: boolean): Disk => ({
        hardState: { incarnation: founding ? 1 : drawIncarnation(random), founding, term: 0 },
        entries: [],
    });

    const run = (ms: number): void => {
        for (const end = now + ms; now < end; now += tickMs) {
            const delivered = inFlight;
            inFlight = [];
            delivered.forEach(({ to, event }) => step(to, event));
            [...hosts.keys()].forEach(hostId => step(hostId, { kind: NodeEventKind.Tick }));
        }
    };

    return {
        add: (hostId, founding) => start(hostId, emptyDisk(founding)),
        stop: hostId => {
            hosts.delete(hostId);
        },
        restart: (hostId, hasLostDisk) => start(hostId, hasLostDisk ? emptyDisk(false) : disks.get(hostId)!),
        run,
        request: (hostId, request) => {
            requestId += 1;
            const currentId = requestId;
            step(hostId, { kind: NodeEventKind.Request, requestId: currentId, request });
            run(4000);
            return replies.get(currentId);
        },
        node: hostId => hosts.get(hostId)!.node,
        leader: () => [...hosts].find(([, host]) => host.node.status().role === StateRole.Leader)?.[0],
    };
};

/** Publishes a configuration. */
export const publish = (number: number): StateRequest => ({
    kind: StateRequestKind.Publish,
    published: { number, document: `document ${number}` },
});
/** Reads the published configuration. */
export const read: StateRequest = { kind: StateRequestKind.ReadPublished };
