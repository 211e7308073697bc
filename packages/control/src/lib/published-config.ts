/** The published configuration as a state host reads it: what it divides quotas by, sends to entry hosts and checks announcements with. */
import type { ConfigNumber, FleetMachine, GatewayConfig, PublishedConfiguration, ServerAnnouncement } from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";

/** Options of {@link createPublishedConfig}. */
export interface PublishedConfigOptions {
    /** Decodes an operator's document; throws if this version can't. */
    readDocument: (published: PublishedConfiguration) => GatewayConfig;
    /** Called with each configuration that was read. */
    onConfig: (config: GatewayConfig) => void;
    log: EventLog;
}

/** The latest published configuration. */
export interface PublishedConfig {
    /** Reads the configuration if its number has changed; returns the latest one that can be read. */
    refresh(fleet: FleetMachine): GatewayConfig | undefined;
    /** The number of the latest configuration that was read; 0 before the first. */
    latestNumber(): ConfigNumber;
    /** Whether the configuration names the service of an announcement, or the process was recorded when one did. */
    namesService(fleet: FleetMachine, server: ServerAnnouncement): boolean;
}

/** Creates the record of a host that has read no configuration. */
export const createPublishedConfig = ({ readDocument, onConfig, log }: PublishedConfigOptions): PublishedConfig => {
    let latestNumber: ConfigNumber | undefined;
    let latest: GatewayConfig | undefined;
    let serviceNames: ReadonlySet<string> = new Set();

    const read = (published: PublishedConfiguration): void => {
        latestNumber = published.number;
        try {
            latest = readDocument(published);
        }
        catch (err) {
            // A later version may have published it; this host goes on with what it has read.
            log.log("configurationRefused", { number: published.number, message: (err as Error).message });
            return;
        }
        serviceNames = new Set(latest.services.map(({ name }) => name));
        log.log("configurationInForce", { number: published.number, routes: latest.routes.length });
        onConfig(latest);
    };

    const refresh = (fleet: FleetMachine): GatewayConfig | undefined => {
        const published = fleet.published();
        if (published !== undefined && published.number !== latestNumber) {
            read(published);
        }
        return latest;
    };

    return {
        refresh,
        latestNumber: () => latest?.number ?? 0,
        namesService: (fleet, { serverId, service, bornAt }) => {
            const record = fleet.server(serverId);
            return refresh(fleet) === undefined || serviceNames.has(service)
                || (record?.service === service && record.bornAt === bornAt);
        },
    };
};
