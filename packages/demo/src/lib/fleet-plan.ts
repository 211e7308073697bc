/** Hosts, servers and request kinds of the demo, and their addresses and zones. */

/** A host of the demo. */
export interface PlannedHost {
    hostId: string;
    host: string;
    region: string;
    availabilityZone: string;
}

/** A backend server of the demo. */
export interface PlannedServer extends PlannedHost {
    service: string;
}

/** The two example deployments; each value is the name of its examples folder. */
export enum Deployment {
    Ticketing = "ticketing",
    Cartons = "cartons",
}

/** One kind of request that the demo's callers send. */
export interface DemoKind {
    deployment: Deployment;
    kind: string;
    method: "GET" | "POST";
    /** Whether requests carry an idempotency key. */
    keyed: boolean;
}

/** Every kind of request of both deployments. */
export const demoKinds: DemoKind[] = [
    { deployment: Deployment.Ticketing, kind: "seat-maps", method: "GET", keyed: false },
    { deployment: Deployment.Ticketing, kind: "schedules", method: "GET", keyed: false },
    { deployment: Deployment.Ticketing, kind: "bookings", method: "POST", keyed: true },
    { deployment: Deployment.Ticketing, kind: "refunds", method: "POST", keyed: true },
    { deployment: Deployment.Cartons, kind: "pricing", method: "POST", keyed: false },
    { deployment: Deployment.Cartons, kind: "catalogue", method: "GET", keyed: false },
    { deployment: Deployment.Cartons, kind: "quotes", method: "POST", keyed: true },
    { deployment: Deployment.Cartons, kind: "scheduling", method: "POST", keyed: true },
];

const zones = [
    { region: "region-1", availabilityZone: "zone-1a" },
    { region: "region-1", availabilityZone: "zone-1b" },
    { region: "region-2", availabilityZone: "zone-2a" },
    { region: "region-2", availabilityZone: "zone-2b" },
];

/** Three state hosts, each in another availability zone. */
export const plannedStateHosts: PlannedHost[] = [0, 1, 2].map(index => ({
    hostId: `state-${index + 1}`,
    host: `127.0.3.${index + 1}`,
    ...zones[index]!,
}));

/** One entry host in each availability zone. */
export const plannedEntryHosts: PlannedHost[] = zones.map((zone, index) => ({
    hostId: `entry-${index + 1}`,
    host: `127.0.1.${index + 1}`,
    ...zone,
}));

/** Two backend servers per service in the first region and one in the second. */
export const plannedBackendServers: PlannedServer[] = demoKinds.flatMap((kind, kindIndex) =>
    zones.slice(0, 3).map((zone, zoneIndex) => ({
        hostId: `${kind.kind}-${zoneIndex + 1}`,
        host: `127.0.2.${kindIndex * 3 + zoneIndex + 1}`,
        service: kind.kind,
        ...zone,
    }))
);
