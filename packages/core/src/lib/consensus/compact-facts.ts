/** Facts as rows, since each one crosses all availability zones and regions, where bytes are billed. */
import { FactKind, HostPhase, HostRole, ServingState } from "../fleet/facts.js";
import type { Fact, HostAnnouncement, ServerAnnouncement } from "../fleet/facts.js";
import { splitHostAndPort } from "./compact-address.js";

type ServerFact = Extract<Fact, { kind: FactKind.Server; }>;
type HostFact = Extract<Fact, { kind: FactKind.Host; }>;

/** The server's address is split into host and port; `age` is the time from the process's start until `at`, in milliseconds. */
type ServerRow = [
    serverId: string,
    service: string,
    host: string,
    port: number,
    availabilityZone: string,
    slots: number,
    isDraining: number,
    age: number,
    warmupLeftMs: number,
    at: number,
    keeper?: string,
];

/** Without a keeper, a row has that of the row before it. */
type HostRow = [
    hostId: string,
    role: number,
    host: string,
    port: number,
    /** 0 without one. */
    forwardPort: number,
    availabilityZone: string,
    region: string,
    state: number,
    startedAt: number,
    takesQuarantine: number,
    keeper?: string,
];

/** A fact as a row, or unchanged if a row can't hold it. */
export type CompactFact = ServerRow | HostRow | Fact;

const roles = [HostRole.Entry, HostRole.State];
const phases = [HostPhase.Ready, HostPhase.NoServerPath, HostPhase.Leaving, HostPhase.Departed];

const serverKeys: ReadonlySet<string> = new Set<keyof ServerAnnouncement>([
    "serverId",
    "service",
    "address",
    "availabilityZone",
    "slots",
    "state",
    "bornAt",
    "warmupLeftMs",
]);
const hostKeys: ReadonlySet<string> = new Set<keyof HostAnnouncement>([
    "hostId",
    "role",
    "address",
    "forwardAddress",
    "availabilityZone",
    "region",
    "state",
    "startedAt",
    "takesQuarantine",
]);

/** Whether a record has no field that a row would lose, such as one that a later version adds. */
const hasOnly = (record: object, keys: ReadonlySet<string>): boolean => Object.keys(record).every(key => keys.has(key));

const keeperPart = (keeper: string, previousKeeper: string): [] | [string] => keeper === previousKeeper ? [] : [keeper];

const toServerFactRow = ({ server, keeper, at }: ServerFact, previousKeeper: string): ServerRow | undefined => {
    const { serverId, service, availabilityZone, slots, state, bornAt, warmupLeftMs } = server;
    const address = splitHostAndPort(server.address);
    if (address === undefined || !hasOnly(server, serverKeys) || ![at, bornAt, at - bornAt].every(Number.isSafeInteger)) {
        return undefined;
    }
    const isDraining = state === ServingState.Draining ? 1 : 0;
    const [host, port] = address;
    const rest = keeperPart(keeper, previousKeeper);
    return [serverId, service, host, port, availabilityZone, slots, isDraining, at - bornAt, warmupLeftMs, at, ...rest];
};

const toHostFactRow = ({ host: record, keeper }: HostFact, previousKeeper: string): HostRow | undefined => {
    const address = splitHostAndPort(record.address);
    const forwardAddress = record.forwardAddress === undefined ? undefined : splitHostAndPort(record.forwardAddress);
    const hasForwardAddress = record.forwardAddress === undefined || (forwardAddress?.[0] === address?.[0]);
    if (address === undefined || !hasForwardAddress || !hasOnly(record, hostKeys)) {
        return undefined;
    }
    const { hostId, role, availabilityZone, region, state, startedAt, takesQuarantine } = record;
    return [
        hostId,
        roles.indexOf(role),
        ...address,
        forwardAddress?.[1] ?? 0,
        availabilityZone,
        region,
        phases.indexOf(state),
        startedAt,
        takesQuarantine === true ? 1 : 0,
        ...keeperPart(keeper, previousKeeper),
    ];
};

const fromServerFactRow = (row: ServerRow, previousKeeper: string): ServerFact => {
    const [serverId, service, host, port, availabilityZone, slots, isDraining, age, warmupLeftMs, at, keeper] = row;
    const state = isDraining === 1 ? ServingState.Draining : ServingState.Ready;
    const address = `${host}:${port}`;
    const server = { serverId, service, address, availabilityZone, slots, state, bornAt: at - age, warmupLeftMs } as const;
    return { kind: FactKind.Server, server, keeper: keeper ?? previousKeeper, at };
};

const fromHostFactRow = (row: HostRow, previousKeeper: string): HostFact => {
    const [hostId, role, hostPart, port, forwardPort, availabilityZone, region, phase, startedAt, takesQuarantine, keeper] = row;
    const host: HostAnnouncement = {
        hostId,
        role: roles[role]!,
        address: `${hostPart}:${port}`,
        ...forwardPort === 0 ? {} : { forwardAddress: `${hostPart}:${forwardPort}` },
        availabilityZone,
        region,
        state: phases[phase]!,
        startedAt,
        ...takesQuarantine === 1 ? { takesQuarantine: true } : {},
    };
    return { kind: FactKind.Host, host, keeper: keeper ?? previousKeeper };
};

/** Rows of hosts have a number in the second place, those of servers the name of the service. */
const isHostRow = (row: ServerRow | HostRow): row is HostRow => typeof row[1] === "number";

const toRow = (fact: Fact, previousKeeper: string): ServerRow | HostRow | undefined => {
    if (fact.kind === FactKind.Server) {
        return toServerFactRow(fact, previousKeeper);
    }
    return fact.kind === FactKind.Host ? toHostFactRow(fact, previousKeeper) : undefined;
};

/** Encodes facts as rows; those without a row stay as they are. */
export const toCompactFacts = (facts: readonly Fact[]): CompactFact[] => {
    let previousKeeper = "";
    return facts.map(fact => {
        const row = toRow(fact, previousKeeper);
        if (row === undefined) {
            return fact;
        }
        previousKeeper = "keeper" in fact ? fact.keeper : previousKeeper;
        return row;
    });
};

/** Decodes facts. */
export const fromCompactFacts = (rows: readonly CompactFact[]): Fact[] => {
    let previousKeeper = "";
    return rows.map(row => {
        if (!Array.isArray(row)) {
            return row;
        }
        const fact = isHostRow(row) ? fromHostFactRow(row, previousKeeper) : fromServerFactRow(row, previousKeeper);
        previousKeeper = fact.keeper;
        return fact;
    });
};
